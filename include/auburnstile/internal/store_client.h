/*
 * Inside the store client: single HTTP exchanges under a deadline and the
 * budget of calls (store_exchange.c), operations that repeat them
 * (store_operation.c), and the watch (store_watch.c).
 */
#ifndef AUBURNSTILE_INTERNAL_STORE_CLIENT_H
#define AUBURNSTILE_INTERNAL_STORE_CLIENT_H

#include <auburnstile/store_client.h>
#include <json-glib/json-glib.h>
#include <libsoup/soup.h>
#include <stdbool.h>

G_BEGIN_DECLS

struct store_exchange;
struct store_watch;

struct aub_store_client {
	struct aub_store_client_options options;
	char *url;
	GMainContext *context; /* owned reference */
	SoupSession *session;
	GRand *random;
	GHashTable *known_versions; /* key -> guint64, highest version known */
	GPtrArray *operations; /* of struct operation, owned */
	GPtrArray *exchanges; /* of struct store_exchange, open or waiting */
	GQueue queued_exchanges; /* of struct store_exchange, for the budget */
	GSource *dispatch_timer; /* NULL when nothing waits */
	double tokens; /* calls allowed right now */
	gint64 tokens_updated_us;
	guint64 calls_total;
	struct store_watch *watch; /* NULL when none */
};

struct store_request {
	const char *method;
	const char *path; /* escaped, with its query */
	GBytes *body; /* borrowed; NULL for none */
	guint64 if_match; /* used with a body */
	guint timeout_ms;
	bool new_connection; /* don't trust a pooled one */
};

/* Borrowed for the callback. Either `error` or the rest. */
struct store_result {
	const GError *error;
	bool connection_refused; /* the connection was refused: provably not
				    sent */
	guint status;
	guint64 version; /* of X-Version, 0 for none */
	GBytes *body;
};

typedef void store_exchange_callback(const struct store_result *result,
				     void *context);

/* Waits for the budget, then sends. The callback is never called at once. */
struct store_exchange *store_exchange_start(struct aub_store_client *client,
					    const struct store_request *request,
					    store_exchange_callback *done,
					    void *context);
/* The callback will not be called. NULL is ignored. */
void store_exchange_cancel(struct store_exchange *exchange);

/* Ends an operation without its callback. For the client's list of them. */
void store_operation_free(void *data);

/* One-shot timer on the client's context, owned by the caller. */
GSource *store_timer(struct aub_store_client *client, guint delay_ms,
		     GSourceFunc function, void *data);
void store_timer_clear(GSource **timer);

/* Exponential backoff with full jitter, in ms, after `failures` in a row. */
guint store_backoff_ms(struct aub_store_client *client, guint failures);

/* False where a newer version of the object is known: a stale read. */
bool store_record_version(struct aub_store_client *client, const char *key,
			  guint64 version);

/* Fields of a {"key","version","value"} element; false if malformed. */
bool store_object_parse(JsonNode *node, struct aub_store_object *object);

/* An error for an answer that is none of the expected ones. */
void store_error_from_status(GError **error, const char *step,
			     const struct aub_store_client *client,
			     guint status);

G_END_DECLS

#endif
