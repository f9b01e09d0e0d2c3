#include "command/command.hpp"

int main(int argc, char** argv) { return lichenlanding::command::run(argc, argv); }
