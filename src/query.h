/*
 * query.h - answers to queries of operators and callers.
 */
#ifndef BS_QUERY_H
#define BS_QUERY_H

#include "core.h"

/* Answers MESSAGE, a BS_QUERY, with a BS_QUERY_REPLY. */
void BsQuery_Handle(BsCore *core, const BsMessage *message);

#endif /* BS_QUERY_H */
