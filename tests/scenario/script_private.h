/* script_private.h - what the verbs of a scenario share. */
#ifndef SCRIPT_PRIVATE_H
#define SCRIPT_PRIVATE_H

#include "world.h"

/* A scenario while it runs; the words are those of the current line. */
typedef struct {
    World *world;
    GString *out;
    char *directory;
    char **words;
    int count;
    bool failed;
} Script;

typedef struct {
    const char *verb;
    int min_words; /* with the verb */
    bool (*run)(Script *script, GError **error);
} ScriptVerb;

/* Verbs by file; each table ends with an empty row. */
extern const ScriptVerb script_setup_verbs[];
extern const ScriptVerb script_call_verbs[];
extern const ScriptVerb script_fault_verbs[];
extern const ScriptVerb script_measure_verbs[];

/* Sets ERROR to the formatted text; returns false. */
bool Script_Fail(GError **error, const char *format, ...) G_GNUC_PRINTF(2, 3);

/* Returns the value of the word "KEY=value", or FALLBACK. */
const char *Script_Option(const Script *script, const char *key,
                          const char *fallback);

/* As Script_Option(), as a number. */
uint32_t Script_Number(const Script *script, const char *key,
                       uint32_t fallback);

/* Returns the word at INDEX as a number, or FALLBACK. */
int64_t Script_WordNumber(const Script *script, int index, int64_t fallback);

/* Notes a failed expectation unless it HOLDS. */
void Script_Check(Script *script, bool holds, const char *seen);

#endif /* SCRIPT_PRIVATE_H */
