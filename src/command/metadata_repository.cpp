// lichenlanding metadata create | key | add-target | ... | publish: the subcommands of RepositoryEditor.
#include "command/command.hpp"
#include "command/repository_editor.hpp"

namespace lichenlanding::command {
namespace {

using repository::RepositoryEditor;
using repository::RepositoryOptions;

// Puts the subcommands on the command line, by what they change.
class RepositoryCommands {
  public:
    RepositoryCommands(CLI::App& metadata, Chosen& chosen) : metadata_(metadata), chosen_(chosen) {}

    void addKeyAndCreate() {
        auto* key =
            subcommand("key", "make a private key (PEM, mode 0600) and print its id", &RepositoryEditor::key);
        key->add_option("--out", options_->out, "the file")->required();
        key->add_option("--scheme", options_->scheme, "ed25519, ecdsa or rsa");
        auto* create = inRepository(
            subcommand("create", "make and publish an empty repository", &RepositoryEditor::create));
        create
            ->add_option("--keys", options_->keyDirectory,
                         "folder of root.pem, timestamp.pem, ...; made if missing")
            ->required();
        create->add_option("--scheme", options_->scheme, "of keys that are made");
        create->add_flag("--no-consistent-snapshot", options_->inconsistent,
                         "file names without versions and hashes");
        create->footer("Example:\n  lichenlanding metadata create --repo repo --keys keys");
    }
    void addTargets() {
        auto* add = signing(subcommand("add-target", "list a file", &RepositoryEditor::addTarget));
        add->add_option("--role", options_->role, "the listing role");
        add->add_option("--name", options_->name, "the target's path")->required();
        add->add_option("--file", options_->file, "its bytes")->required();
        add->add_option("--custom", options_->custom, "a JSON object kept beside it");
        add->footer(
            "Example:\n  lichenlanding metadata add-target --repo repo --name releases/42 --file 42.json "
            "--sign-with keys/targets.pem");
        auto* remove =
            signing(subcommand("remove-target", "list a file no more", &RepositoryEditor::removeTarget));
        remove->add_option("--role", options_->role, "the listing role");
        remove->add_option("--name", options_->name, "the target's path")->required();
    }
    void addDelegations() {
        auto* delegate = signing(
            subcommand("delegate", "let another role speak of some paths", &RepositoryEditor::delegate));
        delegate->add_option("--role", options_->role, "the delegating role");
        delegate
            ->add_option("--name", options_->name,
                         "the other role, or with --bins the beginning of the bins' names")
            ->required();
        delegate->add_option("--key", options_->add, "its keys, public or private PEM")
            ->required()
            ->take_all();
        delegate->add_option("--threshold", options_->threshold, "how many of them must sign");
        delegate->add_option("--path", options_->paths, "patterns; '*' and '?' stop at '/'")->take_all();
        delegate->add_option("--hash-prefix", options_->prefixes, "beginnings of paths' SHA-256")->take_all();
        delegate->add_option("--bins", options_->bits, "2^BITS hash bins")->check(CLI::Range(1, 16));
        delegate->add_flag("--terminating", options_->terminating, "nobody behind it is asked");
        auto* revoke = signing(subcommand("revoke", "end a delegation", &RepositoryEditor::revoke));
        revoke->add_option("--role", options_->role, "the delegating role");
        revoke->add_option("--name", options_->name, "the other role")->required();
    }
    void addRotation() {
        auto* rotate = signing(subcommand("rotate", "change the keys of root, timestamp, snapshot or targets",
                                          &RepositoryEditor::rotate));
        rotate->add_option("ROLE", options_->role, "the role")->required();
        rotate->add_option("--add", options_->add, "keys, public or private PEM")->take_all();
        rotate->add_option("--remove", options_->remove, "key ids")->take_all();
        rotate->add_option("--threshold", options_->threshold, "how many must sign");
        rotate->footer(
            "Example:\n  lichenlanding metadata rotate timestamp --repo repo --add keys/new.pem --remove ID "
            "--sign-with keys/root.pem");
        auto* renew = signing(
            subcommand("renew", "draft the same again with a new time limit", &RepositoryEditor::renew));
        renew->add_option("--role", options_->role, "root, targets or a delegated role");
    }
    void addSigningAndPublishing() {
        auto* sign =
            subcommand("sign", "add signatures to a document's file, offline", &RepositoryEditor::signFile);
        sign->add_option("FILE", options_->file, "the document")->required();
        sign->add_option("--sign-with", options_->signWith, "private keys")->required()->take_all();
        auto* publish = inRepository(
            subcommand("publish", "check all drafts and put them into force", &RepositoryEditor::publish));
        publish->add_option("--keys", options_->keyDirectory, "folder of snapshot.pem and timestamp.pem")
            ->required();
        publish->add_option("--days", options_->days, "of the snapshot and timestamp")
            ->check(CLI::Range(1, 36'500));
    }

  private:
    CLI::App* subcommand(const char* name, const char* what, int (RepositoryEditor::*call)()) {
        auto* command = metadata_.add_subcommand(name, what);
        command->callback([options = options_, call, &chosen = chosen_] {
            chosen = [options, call] { return (RepositoryEditor(*options).*call)(); };
        });
        command->add_option("--passphrase-file", options_->passphraseFile,
                            "its first line opens, or locks, the keys");
        command->add_option("--now", options_->now, "the time to count limits from, RFC 3339");
        return command;
    }
    CLI::App* inRepository(CLI::App* command) {
        command->add_option("--repo", options_->repository, "the repository's folder")->required();
        return command;
    }
    CLI::App* signing(CLI::App* command) {
        inRepository(command);
        command->add_option("--sign-with", options_->signWith, "private keys to sign the draft with")
            ->take_all();
        command->add_option("--days", options_->days, "until the new version expires")
            ->check(CLI::Range(1, 36'500));
        return command;
    }

    CLI::App& metadata_;
    Chosen& chosen_;
    std::shared_ptr<RepositoryOptions> options_ = std::make_shared<RepositoryOptions>();
};

}  // namespace

void addMetadataRepository(CLI::App& metadata, Chosen& chosen) {
    RepositoryCommands commands(metadata, chosen);
    commands.addKeyAndCreate();
    commands.addTargets();
    commands.addDelegations();
    commands.addRotation();
    commands.addSigningAndPublishing();
}

}  // namespace lichenlanding::command
