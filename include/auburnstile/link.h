/*
 * Links: TCP connections between processes of the load balancer that carry
 * framed messages.
 *
 * Asynchronous, on the thread's default main context. Each side first sends a
 * hello; an accepted peer has to send its hello within one second. A malformed
 * frame, a frame over the size limit, an output queue over its limit or a
 * closed connection ends the link with an error that names step and peer. A
 * closed link is not reused. The link itself answers pings; pongs are
 * delivered like any other message.
 */
#ifndef AUBURNSTILE_LINK_H
#define AUBURNSTILE_LINK_H

#include <auburnstile/message.h>

G_BEGIN_DECLS

struct aub_link;
struct aub_link_server;

struct aub_link_callbacks {
	/*
	 * Called when the peer's hello has been received and the link can be
	 * used. `hello` is valid during the callback.
	 */
	void (*up)(struct aub_link *link, const struct aub_hello *hello,
		   void *context);
	/* Called for each message, which the callee owns (aub_message_free). */
	void (*message)(struct aub_link *link, struct aub_message *message,
			void *context);
	/*
	 * Called once when the link has ended or could not be established,
	 * unless aub_link_free() was called before. The callee frees the link,
	 * during the callback or later.
	 */
	void (*down)(struct aub_link *link, const GError *error, void *context);
};

/*
 * Connects to "ip:port". `hello` is copied. Never fails immediately: errors
 * are reported through `down`. Owned by the caller.
 */
struct aub_link *aub_link_connect(const char *address,
				  const struct aub_hello *hello,
				  guint timeout_ms,
				  const struct aub_link_callbacks *callbacks,
				  void *context);
void aub_link_free(struct aub_link *link);

/*
 * Queues a message, which the caller still owns. Returns false, and the link
 * ends, if the message cannot be encoded or the queue exceeds
 * AUB_LINK_QUEUE_MAX_BYTES.
 */
#define AUB_LINK_QUEUE_MAX_BYTES (64u << 20)
bool aub_link_send(struct aub_link *link, const struct aub_message *message);

bool aub_link_is_up(const struct aub_link *link);
const char *aub_link_peer(const struct aub_link *link); /* not owned */
const struct aub_hello *aub_link_peer_hello(const struct aub_link *link);
gint64 aub_link_last_received_us(const struct aub_link *link); /* monotonic */
gsize aub_link_queued_bytes(const struct aub_link *link); /* not yet sent */

/* Returns the number of bytes received and sent over one link. */
guint64 aub_link_transferred_bytes(const struct aub_link *link);

/*
 * Stores the number of bytes that all links of this process have received and
 * sent, for metrics.
 */
void aub_link_process_bytes(guint64 *bytes_received, guint64 *bytes_sent);

/*
 * Accepts links on "ip:port". `accepted` is called when the peer's hello has
 * been received. To accept the link it returns callbacks and sets `*context`;
 * then `up` follows. To reject the link it returns NULL. The callee owns an
 * accepted link.
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
