/*
 * answer.h - the text that a stand-in engine generates.
 *
 * Word N of an answer is a pure function of the prompt, so that a caller can
 * check each event of a stream against the prompt that it sent.
 */
#ifndef BS_ANSWER_H
#define BS_ANSWER_H

#include <jansson.h>
#include <stdint.h>

/* Size in bytes of the longest word with its trailing space and NUL. */
#define BS_ANSWER_WORD_BYTES 24

/* Writes word INDEX of the answer to PROMPT, followed by a space. */
void BsAnswerText_Word(const char *prompt, uint32_t index,
                       char word[BS_ANSWER_WORD_BYTES]);

/* Returns the prompt of a request body: "prompt", or the contents of
   "messages" joined by newlines.  Free it with g_free(). */
char *BsAnswerText_Prompt(const json_t *body);

#endif /* BS_ANSWER_H */
