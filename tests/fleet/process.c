/* process.c - starts, signals and waits for child processes. */
#include "process.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#define PORT_FIRST 10000
#define PORT_COUNT 20000
#define PORT_STRIDE 97 /* between the first ports of two test processes */
#define WAIT_STEP_MS 10
#define SIGNAL_EXIT_BASE 128

/* Executes the program in the forked child; never returns. */
static void
S_run_child(char **argv, const char *log_path, int output)
{
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    int log = open(log_path, O_WRONLY | O_CREAT | O_APPEND, 0600);
    if (log >= 0) {
        dup2(log, STDERR_FILENO);
        dup2(output >= 0 ? output : log, STDOUT_FILENO);
    }
    execv(argv[0], argv);
    _exit(127);
}

static void
S_start(BsProcess *process, char **argv, const char *log_path, int output)
{
    process->port = 0;
    process->pid = fork();
    if (process->pid == 0) {
        S_run_child(argv, log_path, output);
    }
    if (process->pid < 0) {
        g_error("cannot start %s: %s", argv[0], g_strerror(errno));
    }
}

void
BsProcess_Start(BsProcess *process, char **argv, const char *log_path)
{
    S_start(process, argv, log_path, -1);
}

void
BsProcess_StartStandin(BsProcess *process, char **argv, const char *log_path)
{
    int ends[2];
    char line[128];
    if (pipe2(ends, O_CLOEXEC) != 0) {
        g_error("cannot create a pipe: %s", g_strerror(errno));
    }
    S_start(process, argv, log_path, ends[1]);
    close(ends[1]);
    FILE *output = fdopen(ends[0], "r");
    const char *colon =
        fgets(line, sizeof(line), output) == NULL ? NULL : strchr(line, ':');
    if (colon == NULL) {
        g_error("%s %s did not start; see %s", argv[0], argv[1], log_path);
    }
    process->port = (int)strtol(colon + 1, NULL, 10);
    fclose(output);
}

void
BsProcess_Signal(const BsProcess *process, int signal_number)
{
    if (process->pid > 0) {
        kill(process->pid, signal_number);
    }
}

int
BsProcess_Wait(BsProcess *process, int limit_ms)
{
    int status;
    for (int waited_ms = 0; process->pid > 0; waited_ms += WAIT_STEP_MS) {
        if (waitpid(process->pid, &status, WNOHANG) == process->pid) {
            process->pid = 0;
            return WIFEXITED(status) ? WEXITSTATUS(status)
                                     : SIGNAL_EXIT_BASE + WTERMSIG(status);
        }
        if (waited_ms >= limit_ms) {
            break;
        }
        g_usleep(WAIT_STEP_MS * G_TIME_SPAN_MILLISECOND);
    }
    return -1;
}

void
BsProcess_Kill(BsProcess *process)
{
    if (process->pid > 0) {
        kill(process->pid, SIGKILL);
        waitpid(process->pid, NULL, 0);
        process->pid = 0;
    }
}

static bool
S_is_free(int port)
{
    struct sockaddr_in address = {.sin_family = AF_INET,
                                  .sin_port = htons((uint16_t)port),
                                  .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
    int on = 1;
    int probe = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    setsockopt(probe, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    bool is_free =
        bind(probe, (struct sockaddr *)&address, sizeof(address)) == 0;
    close(probe);
    return is_free;
}

int
BsProcess_FreePort(void)
{
    static int next = -1;
    if (next < 0) {
        next = (int)getpid() * PORT_STRIDE % PORT_COUNT;
    }
    for (int tries = 0; tries < PORT_COUNT; tries++) {
        int port = PORT_FIRST + next;
        next = (next + 1) % PORT_COUNT;
        if (S_is_free(port)) {
            return port;
        }
    }
    g_error("no free port");
}
