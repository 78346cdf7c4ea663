// Signals that arrive before a process watches them or after it has stopped
// watching them, in the gateway and in boragespurd.  No test depends on time.
#include "gateway_fixture.h"

#include <csignal>
#include <fcntl.h>
#include <fstream>
#include <sstream>
#include <sys/wait.h>
#include <unistd.h>

namespace {

// When the signal arrives.
enum class Arrival {
    kPending, // blocked and pending when main() begins
    kReading, // while the process opens its settings file
};

struct EarlyCase {
    const char *name;
    int signal;
    Arrival arrival;
};

const EarlyCase kEarly[] = {
    {"HangupPending", SIGHUP, Arrival::kPending},
    {"HangupWhileReading", SIGHUP, Arrival::kReading},
    {"TerminatePending", SIGTERM, Arrival::kPending},
    {"TerminateWhileReading", SIGTERM, Arrival::kReading},
    {"InterruptPending", SIGINT, Arrival::kPending},
    {"InterruptWhileReading", SIGINT, Arrival::kReading},
};

// A process of PROGRAM with a settings file, to which a signal is sent early.
class EarlyProcess {
  public:
    EarlyProcess(const char *program, const std::string &settings)
        : program_(program), settings_(settings), log_(settings + ".log")
    {
    }
    ~EarlyProcess()
    {
        if (pid_ > 0) {
            kill(pid_, SIGKILL);
            waitpid(pid_, nullptr, 0);
        }
        unlink(log_.c_str());
    }
    void Start(const EarlyCase &early)
    {
        if (early.arrival == Arrival::kPending) {
            Launch(early.signal);
            return;
        }
        // The lease holds back the open() of the process.
        signal(SIGIO, SIG_IGN);
        int fd = open(settings_.c_str(), O_RDWR | O_CLOEXEC);
        ASSERT_EQ(fcntl(fd, F_SETLEASE, F_WRLCK), 0) << strerror(errno);
        Launch(0);
        EXPECT_TRUE(
            Eventually([&] { return fcntl(fd, F_GETLEASE) != F_WRLCK; }));
        kill(pid_, early.signal);
        fcntl(fd, F_SETLEASE, F_UNLCK);
        close(fd);
    }
    // Waits for the end; returns the exit code, minus the signal when one
    // killed the process, and -1000 when it does not end.
    int Wait()
    {
        int status = 0;
        if (!Eventually(
                [&] { return waitpid(pid_, &status, WNOHANG) == pid_; })) {
            return -1000;
        }
        pid_ = -1;
        return WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
    }
    bool WaitLog(const std::string &text)
    {
        return Eventually([&] {
            std::ifstream file(log_);
            std::stringstream all;
            all << file.rdbuf();
            return all.str().find(text) != std::string::npos;
        });
    }
    void Terminate()
    {
        kill(pid_, SIGTERM);
    }
    // Sends SIGTERM without a pause until the process ends; as Wait().
    int TerminateUntilTheEnd()
    {
        int status = 0;
        while (waitpid(pid_, &status, WNOHANG) == 0) {
            Terminate();
        }
        pid_ = -1;
        return WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
    }

  private:
    // Starts the process, with SIGNAL_NUMBER blocked and pending unless it is
    // 0.
    void Launch(int signal_number)
    {
        char *argv[] = {const_cast<char *>(program_),
                        const_cast<char *>(settings_.c_str()), nullptr};
        const char *log = log_.c_str();
        sigset_t set;
        sigemptyset(&set);
        sigaddset(&set, signal_number);
        pid_ = fork();
        if (pid_ == 0) {
            int fd = open(log, O_WRONLY | O_CREAT | O_TRUNC, 0600);
            dup2(fd, STDOUT_FILENO);
            dup2(fd, STDERR_FILENO);
            if (signal_number != 0) {
                sigprocmask(SIG_BLOCK, &set, nullptr);
                kill(getpid(), signal_number);
            }
            execv(program_, argv);
            _exit(127);
        }
    }
    const char *program_;
    std::string settings_;
    std::string log_;
    pid_t pid_ = -1;
};

class EarlySignalTest : public GatewayTest,
                        public testing::WithParamInterface<EarlyCase> {
  protected:
    // Starts PROCESS; RELOADED is in its log after SIGHUP.
    static void Play(EarlyProcess &process, const char *reloaded)
    {
        process.Start(GetParam());
        if (GetParam().signal == SIGHUP) {
            EXPECT_TRUE(process.WaitLog(reloaded));
            process.Terminate();
        }
        EXPECT_EQ(process.Wait(), 0);
    }
};

// Guards against a signal that kills a starting gateway, or is lost.
TEST_P(EarlySignalTest, HasItsEffectInTheGateway)
{
    gateway_ = std::make_unique<Gateway>(store_.port());
    gateway_->Signal(SIGKILL);
    EXPECT_EQ(gateway_->Wait(), -1);
    EarlyProcess process(BORAGESPUR_GATEWAY, gateway_->settings());
    Play(process, "\"in force\"");
}

// Guards against the same in boragespurd.
TEST_P(EarlySignalTest, HasItsEffectInTheDaemon)
{
    Daemon daemon(FreePort(), FreePort());
    daemon.Signal(SIGKILL);
    EXPECT_EQ(daemon.Wait(), -1);
    EarlyProcess process(BORAGESPURD, daemon.settings());
    Play(process, "SIGHUP: nothing to reload");
}

INSTANTIATE_TEST_SUITE_P(Signals, EarlySignalTest, testing::ValuesIn(kEarly),
                         [](const auto &info) {
                             return std::string(info.param.name);
                         });

class LateSignalTest : public GatewayTest {};

// Guards against a second SIGTERM that kills a stopping gateway after it has
// stopped to watch signals.
TEST_F(LateSignalTest, RepeatedSignalsDoNotKillTheGateway)
{
    gateway_ = std::make_unique<Gateway>(store_.port());
    gateway_->Signal(SIGKILL);
    EXPECT_EQ(gateway_->Wait(), -1);
    EarlyProcess process(BORAGESPUR_GATEWAY, gateway_->settings());
    process.Start({"", 0, Arrival::kPending});
    EXPECT_TRUE(process.WaitLog("\"started\""));
    EXPECT_EQ(process.TerminateUntilTheEnd(), 0);
}

// Guards against the same in boragespurd.
TEST_F(LateSignalTest, RepeatedSignalsDoNotKillTheDaemon)
{
    Daemon daemon(FreePort(), FreePort());
    daemon.Signal(SIGKILL);
    EXPECT_EQ(daemon.Wait(), -1);
    EarlyProcess process(BORAGESPURD, daemon.settings());
    process.Start({"", 0, Arrival::kPending});
    EXPECT_TRUE(process.WaitLog("listening for callers"));
    EXPECT_EQ(process.TerminateUntilTheEnd(), 0);
}

} // namespace
