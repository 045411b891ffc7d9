#include "sequoiagate/Operate/Timeline.h"

int main(int argc, char **argv)
{
    return sequoiagate::runTimeline(argc, argv);
}
