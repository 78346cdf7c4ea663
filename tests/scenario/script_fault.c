/* script_fault.c - verbs that advance time and inject faults. */
#include "script_private.h"

#include <string.h>

static bool
S_run(Script *script, GError **error)
{
    (void)error;
    World_Run(script->world, Script_WordNumber(script, 1, 0));
    return true;
}

static bool
S_kill(Script *script, GError **error)
{
    (void)error;
    World_Kill(script->world, script->words[1]);
    return true;
}

static bool
S_restart(Script *script, GError **error)
{
    (void)error;
    World_Restart(script->world, script->words[1]);
    return true;
}

static bool
S_pause(Script *script, GError **error)
{
    (void)error;
    World_Pause(script->world, script->words[1]);
    return true;
}

static bool
S_wake(Script *script, GError **error)
{
    (void)error;
    World_Wake(script->world, script->words[1]);
    return true;
}

static bool
S_drain(Script *script, GError **error)
{
    (void)error;
    World_Drain(script->world, script->words[1],
                Script_WordNumber(script, 2, 30000));
    return true;
}

static bool
S_drained(Script *script, GError **error)
{
    (void)error;
    bool drained = World_IsDrained(script->world, script->words[1]);
    Script_Check(script, drained, "not drained");
    return true;
}

/* cut A B [oneway]: drops messages from A to B, and from B to A without
   "oneway". */
static bool
S_cut(Script *script, GError **error)
{
    (void)error;
    World_Cut(script->world, script->words[1], script->words[2]);
    if (script->count < 4) {
        World_Cut(script->world, script->words[2], script->words[1]);
    }
    return true;
}

static bool
S_heal(Script *script, GError **error)
{
    (void)error;
    World_Heal(script->world);
    return true;
}

/* network LOSS_PERCENT REPEAT_PERCENT EXTRA_MS */
static bool
S_network(Script *script, GError **error)
{
    (void)error;
    World_SetNetwork(script->world,
                     (double)Script_WordNumber(script, 1, 0) / 100,
                     (double)Script_WordNumber(script, 2, 0) / 100,
                     Script_WordNumber(script, 3, 0));
    return true;
}

/* hold KIND INSTANCE */
static bool
S_hold(Script *script, GError **error)
{
    for (uint32_t kind = BS_FORWARD; kind < BS_FORWARD + 32; kind++) {
        if (strcmp(BsMessage_KindName(kind), script->words[1]) == 0) {
            World_Hold(script->world, kind, script->words[2]);
            return true;
        }
    }
    return Script_Fail(error, "unknown message kind '%s'", script->words[1]);
}

static bool
S_release(Script *script, GError **error)
{
    (void)error;
    World_Release(script->world);
    return true;
}

static bool
S_platform(Script *script, GError **error)
{
    (void)error;
    World_SetPlatformDown(script->world,
                          strcmp(script->words[1], "down") == 0);
    return true;
}

static bool
S_mode(Script *script, GError **error)
{
    static const char *const modes[] = {"ok",   "refuse", "connect", "crash",
                                        "hang", "half",   "error"};
    for (int i = 0; i < (int)G_N_ELEMENTS(modes); i++) {
        if (strcmp(script->words[2], modes[i]) == 0) {
            World_SetMode(script->world, script->words[1], (WorldMode)i);
            return true;
        }
    }
    return Script_Fail(error, "unknown mode '%s'", script->words[2]);
}

static bool
S_speed(Script *script, GError **error)
{
    (void)error;
    World_SetSpeed(script->world, script->words[1],
                   (uint32_t)Script_WordNumber(script, 2, 1),
                   (uint32_t)Script_WordNumber(script, 3, 1));
    return true;
}

static bool
S_reboot(Script *script, GError **error)
{
    (void)error;
    World_RestartUpstream(script->world, script->words[1]);
    return true;
}

const ScriptVerb script_fault_verbs[] = {
    {"run", 2, S_run},
    {"kill", 2, S_kill},
    {"restart", 2, S_restart},
    {"pause", 2, S_pause},
    {"wake", 2, S_wake},
    {"drain", 2, S_drain},
    {"drained", 2, S_drained},
    {"cut", 3, S_cut},
    {"heal", 1, S_heal},
    {"network", 4, S_network},
    {"hold", 3, S_hold},
    {"release", 1, S_release},
    {"platform", 2, S_platform},
    {"mode", 3, S_mode},
    {"speed", 4, S_speed},
    {"reboot", 2, S_reboot},
    {NULL, 0, NULL},
};
