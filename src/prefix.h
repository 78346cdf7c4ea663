/*
 * prefix.h - which prompt prefixes an upstream probably has in its cache.
 *
 * Rules: kept from dispatch history and answers alone, since cache events are
 * late and have gaps; bounded, the least recently used prefix is forgotten.
 */
#ifndef BS_PREFIX_H
#define BS_PREFIX_H

#include "boragespur.h"

typedef struct BsPrefixes BsPrefixes;

/* Creates an empty memory. */
BsPrefixes *BsPrefixes_Create(void);

/* Frees PREFIXES; NULL is allowed. */
void BsPrefixes_Destroy(BsPrefixes *prefixes);

/* Notes that a prompt with prefix HASH has TOKENS tokens in the cache. */
void BsPrefixes_Note(BsPrefixes *prefixes, uint64_t hash, uint32_t tokens);

/* Returns the tokens expected in the cache for prefix HASH. */
uint32_t BsPrefixes_Find(const BsPrefixes *prefixes, uint64_t hash);

/* Forgets everything. */
void BsPrefixes_Clear(BsPrefixes *prefixes);

#endif /* BS_PREFIX_H */
