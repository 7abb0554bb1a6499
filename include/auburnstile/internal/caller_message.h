/*
 * A caller's request as a call, and an answer as its response.
 */
#ifndef AUBURNSTILE_INTERNAL_CALLER_MESSAGE_H
#define AUBURNSTILE_INTERNAL_CALLER_MESSAGE_H

#include <auburnstile/message.h>
#include <libsoup/soup.h>

G_BEGIN_DECLS

/*
 * The whole request as a call, owned by the caller of this function; NULL
 * where one of the project's own headers is malformed.
 */
struct aub_call *aub_caller_parse_request(SoupServerMessage *message);

/* Fill the response in; the body is taken out of `answer`. */
void aub_caller_write_response(SoupServerMessage *message,
			       struct aub_answer *answer, bool stale);

G_END_DECLS

#endif
