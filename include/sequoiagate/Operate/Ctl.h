#ifndef SEQUOIAGATE_OPERATE_CTL_H
#define SEQUOIAGATE_OPERATE_CTL_H

/// The whole of sequoiactl but for its main.

namespace sequoiagate {

/// Parses the command line, runs one command and prints what came of it: the
/// result on standard output, one line on standard error if it failed.
/// \returns the process's exit code, one of ExitCode.
int runCtl(int argc, char **argv);

} // namespace sequoiagate

#endif
