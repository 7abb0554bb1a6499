/*
 * Converts a caller's HTTP request to a call message, and an answer message to
 * the HTTP response.
 */
#ifndef AUBURNSTILE_INTERNAL_CALLER_MESSAGE_H
#define AUBURNSTILE_INTERNAL_CALLER_MESSAGE_H

#include <auburnstile/message.h>
#include <libsoup/soup.h>

G_BEGIN_DECLS

/*
 * Returns the complete request as a call, owned by the caller of the function.
 * Returns NULL if one of the Auburnstile-* request headers is malformed.
 */
struct aub_call *aub_caller_parse_request(SoupServerMessage *message);

/*
 * Fills in the HTTP response. Moves the body out of `answer`. `stale` adds a
 * header that notifies the caller that its cached addresses are outdated.
 */
void aub_caller_write_response(SoupServerMessage *message,
			       struct aub_answer *answer, bool stale);

G_END_DECLS

#endif
