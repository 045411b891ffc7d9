#include "sequoiagate/Operate/Ctl.h"

int main(int argc, char **argv)
{
    return sequoiagate::runCtl(argc, argv);
}
