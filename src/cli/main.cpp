#include "cli/commands.h"

int main(int argc, char **argv)
{
    return cicadafork::runCommandLine(argc, argv);
}
