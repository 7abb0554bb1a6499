/*
 * Links: TCP connections between own processes that carry framed messages.
 *
 * Asynchronous, on the thread's default main context. A link opens with a
 * hello each way; the first hello has to come within a second. A bad frame,
 * a frame past the limit, an output queue past its limit or a closed peer
 * ends the link with an error that names step and peer. A link that was
 * closed is never used again. Pings are answered by the link itself; pongs
 * are delivered like any message.
 */
#ifndef AUBURNSTILE_LINK_H
#define AUBURNSTILE_LINK_H

#include <auburnstile/message.h>

G_BEGIN_DECLS

struct aub_link;
struct aub_link_server;

struct aub_link_callbacks {
	/* The peer's hello came: the link may be used. `hello` borrowed. */
	void (*up)(struct aub_link *link, const struct aub_hello *hello,
		   void *context);
	/* A message came; owned by the callee (aub_message_free). */
	void (*message)(struct aub_link *link, struct aub_message *message,
			void *context);
	/*
	 * The link ended, or never came up. Called exactly once, unless
	 * aub_link_free() came first. The callee frees the link, in the
	 * callback or later.
	 */
	void (*down)(struct aub_link *link, const GError *error, void *context);
};

/*
 * Connect to "ip:port". `hello` is borrowed for the call (copied). Never
 * fails at once: what goes wrong comes through `down`. Owned by the caller.
 */
struct aub_link *aub_link_connect(const char *address,
				  const struct aub_hello *hello,
				  guint timeout_ms,
				  const struct aub_link_callbacks *callbacks,
				  void *context);
void aub_link_free(struct aub_link *link);

/*
 * Queue a message; borrowed. Returns false (and the link goes down) if it
 * can't be encoded or the queue passes `AUB_LINK_QUEUE_MAX_BYTES`.
 */
#define AUB_LINK_QUEUE_MAX_BYTES (64u << 20) /* bytes waiting to be written */
bool aub_link_send(struct aub_link *link, const struct aub_message *message);

bool aub_link_is_up(const struct aub_link *link);
const char *aub_link_peer(const struct aub_link *link); /* borrowed */
const struct aub_hello *aub_link_peer_hello(const struct aub_link *link);
gint64 aub_link_last_received_us(const struct aub_link *link); /* monotonic */
gsize aub_link_queued_bytes(const struct aub_link *link); /* bytes */

/* Bytes read and written over one link. */
guint64 aub_link_transferred_bytes(const struct aub_link *link);

/* Bytes read and written by all links of this process, for metrics. */
void aub_link_process_bytes(guint64 *bytes_received, guint64 *bytes_sent);

/*
 * Accept links on "ip:port". `accepted` is called when a peer's hello came
 * and decides: it returns callbacks and sets `*context` to keep the link
 * (then `up` follows), or NULL to refuse it. Once kept, the link belongs to
 * the callee.
 */
typedef const struct aub_link_callbacks *aub_link_accept_callback(
	struct aub_link *link, const struct aub_hello *hello,
	void *server_context, void **context);
struct aub_link_server *aub_link_server_new(const char *address,
					    const struct aub_hello *hello,
					    aub_link_accept_callback *accepted,
					    void *server_context,
					    GError **error);
void aub_link_server_free(struct aub_link_server *server);

G_END_DECLS

#endif
