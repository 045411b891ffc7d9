#include "sequoiagate/Operate/TokenAccount.h"

int main(int argc, char **argv)
{
    return sequoiagate::runAccount(argc, argv);
}
