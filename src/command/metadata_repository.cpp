// lichenlanding metadata create | key | add-target | ... | publish: maps subcommands to RepositoryEditor.
#include "command/command.hpp"
#include "command/repository_editor.hpp"

namespace lichenlanding::command {
namespace {

using repository::RepositoryEditor;
using repository::RepositoryOptions;

// Registers the subcommands, grouped by what they change.
class RepositoryCommands {
  public:
    RepositoryCommands(CLI::App& metadata, SelectedCommand& selected)
        : metadata_(metadata), selected_(selected) {}

    void addKeyAndCreate() {
        auto* key = subcommand("key", "generate a private key (PEM, mode 0600) and print its id",
                               &RepositoryEditor::key);
        key->add_option("--out", options_->out, "the output file")->required();
        key->add_option("--scheme", options_->scheme, "ed25519, ecdsa or rsa");
        auto* create = withRepository(
            subcommand("create", "create and publish an empty repository", &RepositoryEditor::create));
        create
            ->add_option("--keys", options_->keyDirectory,
                         "directory of root.pem, timestamp.pem, ...; missing keys are generated")
            ->required();
        create->add_option("--scheme", options_->scheme, "scheme of generated keys: ed25519, ecdsa or rsa");
        create->add_flag("--no-consistent-snapshot", options_->inconsistent,
                         "publish file names without versions and hashes");
        create->footer("Example:\n  lichenlanding metadata create --repo repo --keys keys");
    }
    void addTargets() {
        auto* add = withSigning(subcommand("add-target", "list a target file", &RepositoryEditor::addTarget));
        add->add_option("--role", options_->role, "the listing role");
        add->add_option("--name", options_->name, "the target's path")->required();
        add->add_option("--file", options_->file, "the file to list")->required();
        add->add_option("--custom", options_->custom, "JSON object with custom data of the target");
        add->footer(
            "Example:\n  lichenlanding metadata add-target --repo repo --name releases/42 --file 42.json "
            "--sign-with keys/targets.pem");
        auto* remove = withSigning(subcommand("remove-target", "remove a target file from the list",
                                              &RepositoryEditor::removeTarget));
        remove->add_option("--role", options_->role, "the listing role");
        remove->add_option("--name", options_->name, "the target's path")->required();
    }
    void addDelegations() {
        auto* delegate = withSigning(subcommand("delegate", "delegate some target paths to another role",
                                                &RepositoryEditor::delegate));
        delegate->add_option("--role", options_->role, "the delegating role");
        delegate
            ->add_option("--name", options_->name,
                         "the delegated role, or with --bins the prefix of the bins' names")
            ->required();
        delegate->add_option("--key", options_->add, "keys of the delegated role, public or private PEM")
            ->required()
            ->take_all();
        delegate->add_option("--threshold", options_->threshold, "number of keys that must sign");
        delegate->add_option("--path", options_->paths, "path patterns; '*' and '?' do not match '/'")
            ->take_all();
        delegate
            ->add_option("--hash-prefix", options_->prefixes, "prefixes of the paths' SHA-256 in hexadecimal")
            ->take_all();
        delegate->add_option("--bins", options_->bits, "delegate to 2^BITS hash bins")
            ->check(CLI::Range(1, 16));
        delegate->add_flag("--terminating", options_->terminating,
                           "do not search the delegations after this one");
        auto* revoke = withSigning(subcommand("revoke", "end a delegation", &RepositoryEditor::revoke));
        revoke->add_option("--role", options_->role, "the delegating role");
        revoke->add_option("--name", options_->name, "the delegated role")->required();
    }
    void addRotation() {
        auto* rotate = withSigning(subcommand(
            "rotate", "change the keys of root, timestamp, snapshot or targets", &RepositoryEditor::rotate));
        rotate->add_option("ROLE", options_->role, "the role")->required();
        rotate->add_option("--add", options_->add, "keys to add, public or private PEM")->take_all();
        rotate->add_option("--remove", options_->remove, "ids of keys to remove")->take_all();
        rotate->add_option("--threshold", options_->threshold, "number of keys that must sign");
        rotate->footer(
            "Example:\n  lichenlanding metadata rotate timestamp --repo repo --add keys/new.pem --remove ID "
            "--sign-with keys/root.pem");
        auto* renew =
            withSigning(subcommand("renew", "draft a new version with the same content and a new expiry time",
                                   &RepositoryEditor::renew));
        renew->add_option("--role", options_->role, "root, targets or a delegated role");
    }
    void addSigningAndPublishing() {
        auto* sign =
            subcommand("sign", "add signatures to a document file, offline", &RepositoryEditor::signFile);
        sign->add_option("FILE", options_->file, "the document")->required();
        sign->add_option("--sign-with", options_->signWith, "private keys")->required()->take_all();
        auto* publish = withRepository(
            subcommand("publish", "verify all drafts and publish them", &RepositoryEditor::publish));
        publish->add_option("--keys", options_->keyDirectory, "directory of snapshot.pem and timestamp.pem")
            ->required();
        publish->add_option("--days", options_->days, "days until the snapshot and timestamp expire")
            ->check(CLI::Range(1, 36'500));
    }

  private:
    CLI::App* subcommand(const char* name, const char* description, int (RepositoryEditor::*method)()) {
        auto* command = metadata_.add_subcommand(name, description);
        command->callback([options = options_, method, &selected = selected_] {
            selected = [options, method] { return (RepositoryEditor(*options).*method)(); };
        });
        command->add_option("--passphrase-file", options_->passphraseFile,
                            "file whose first line decrypts, or encrypts, the keys");
        command->add_option("--now", options_->now, "time from which expiry is counted, RFC 3339");
        return command;
    }
    CLI::App* withRepository(CLI::App* command) {
        command->add_option("--repo", options_->repository, "directory of the repository")->required();
        return command;
    }
    CLI::App* withSigning(CLI::App* command) {
        withRepository(command);
        command->add_option("--sign-with", options_->signWith, "private keys to sign the draft with")
            ->take_all();
        command->add_option("--days", options_->days, "days until the new version expires")
            ->check(CLI::Range(1, 36'500));
        return command;
    }

    CLI::App& metadata_;
    SelectedCommand& selected_;
    std::shared_ptr<RepositoryOptions> options_ = std::make_shared<RepositoryOptions>();
};

}  // namespace

void addMetadataRepository(CLI::App& metadata, SelectedCommand& selected) {
    RepositoryCommands commands(metadata, selected);
    commands.addKeyAndCreate();
    commands.addTargets();
    commands.addDelegations();
    commands.addRotation();
    commands.addSigningAndPublishing();
}

}  // namespace lichenlanding::command
