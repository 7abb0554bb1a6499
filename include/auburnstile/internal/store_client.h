/*
 * Internals of the store client: HTTP exchanges with a deadline and the call
 * budget (store_exchange.c), operations that retry them (store_operation.c),
 * and the watch (store_watch.c).
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
	GHashTable *known_versions; /* key -> guint64, highest version seen */
	GPtrArray *operations; /* of struct operation, owned */
	GPtrArray *exchanges; /* of struct store_exchange, sent or queued */
	GQueue queued_exchanges; /* of struct store_exchange */
	GSource *dispatch_timer; /* sends a queued exchange; may be NULL */
	double tokens; /* of the token bucket: calls allowed now */
	gint64 tokens_updated_us;
	guint64 calls_total;
	struct store_watch *watch; /* NULL if there is no watch */
};

struct store_request {
	const char *method;
	const char *path; /* escaped, including the query */
	GBytes *body; /* not owned; NULL for none */
	guint64 if_match; /* sent only with a body */
	guint timeout_ms;
	bool new_connection; /* do not reuse a pooled connection */
};

/*
 * Result of an exchange, valid during the callback. Either `error` is set or
 * the response fields are.
 */
struct store_result {
	const GError *error;
	bool connection_refused; /* the request was certainly not sent */
	guint status;
	guint64 version; /* from X-Version; 0 if missing */
	GBytes *body;
};

typedef void store_exchange_callback(const struct store_result *result,
				     void *context);

/*
 * Queues a request and sends it when the call budget allows. The callback is
 * never called before the function returns.
 */
struct store_exchange *store_exchange_start(struct aub_store_client *client,
					    const struct store_request *request,
					    store_exchange_callback *done,
					    void *context);
/* Cancels the exchange without calling its callback. NULL is ignored. */
void store_exchange_cancel(struct store_exchange *exchange);

/*
 * Frees an operation without calling its callback. Free function of the
 * client's list of operations.
 */
void store_operation_free(void *data);

/* Creates a timer on the client's context, owned by the caller. */
GSource *store_timer(struct aub_store_client *client, guint delay_ms,
		     GSourceFunc function, void *data);
void store_timer_clear(GSource **timer);

/*
 * Returns a random delay in ms, by exponential backoff with full jitter, after
 * `failures` consecutive failures.
 */
guint store_backoff_ms(struct aub_store_client *client, guint failures);

/*
 * Records the version of an object that was read. Returns false if a newer
 * version is already known, i.e. if the read is stale.
 */
bool store_record_version(struct aub_store_client *client, const char *key,
			  guint64 version);

/*
 * Parses a {"key","version","value"} element. Returns false if it is
 * malformed.
 */
bool store_object_parse(JsonNode *node, struct aub_store_object *object);

/* Sets an error for a response with an unexpected status. */
void store_error_from_status(GError **error, const char *step,
			     const struct aub_store_client *client,
			     guint status);

G_END_DECLS

#endif
