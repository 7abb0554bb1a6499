/*
 * Client of the platform's object API.
 *
 * Published protocol (HTTP; docs/PROTOCOL.md):
 *   GET  /v1/objects/KEY          200 body, X-Version: N | 404
 *   GET  /v1/objects?prefix=P     200 [{"key","version","value"}...]
 *   PUT  /v1/objects/KEY          If-Match: N (0 = must not exist)
 *                                 200 X-Version: N | 412 X-Version: current
 *   GET  /v1/watch?prefix=P&since=N&wait_ms=M
 *                                 200 {"version":N,"changes":[{...}]}
 * Versions rise over the whole store. Every call counts against a budget,
 * a waiting watch as one. Calls are asynchronous on the thread's default
 * main context; a callback is called exactly once, never from within the
 * call. Freeing the client cancels what is open; callbacks are not called. It
 * must not be freed from within one of its callbacks.
 */
#ifndef AUBURNSTILE_STORE_CLIENT_H
#define AUBURNSTILE_STORE_CLIENT_H

#include <glib.h>

G_BEGIN_DECLS

struct aub_store_client;

struct aub_store_client_options {
	const char *url; /* "http://127.0.0.1:7000"; copied */
	guint timeout_ms; /* of one try, watches excepted */
	guint watch_ms; /* how long a watch waits */
	guint calls_per_s; /* own budget; more wait their turn */
	guint32 seed; /* of the backoff's jitter */
};

struct aub_store_client *aub_store_client_new(
	const struct aub_store_client_options *options);
void aub_store_client_free(struct aub_store_client *client);

/* An object as read; borrowed for the callback. */
struct aub_store_object {
	const char *key;
	const char *value; /* not NUL-terminated by contract */
	gsize length;
	guint64 version;
};

/* `error` NULL on success; AUB_ERROR_NOT_FOUND where there is no object. */
typedef void aub_store_get_callback(const struct aub_store_object *object,
				    const GError *error, void *context);
void aub_store_get(struct aub_store_client *client, const char *key,
		   aub_store_get_callback *callback, void *context);

typedef void aub_store_list_callback(const struct aub_store_object *objects,
				     guint count, const GError *error,
				     void *context);
void aub_store_list(struct aub_store_client *client, const char *prefix,
		    aub_store_list_callback *callback, void *context);

/*
 * Write `value` if the object's version is `expected` (0: does not exist).
 * On success `version` is the new one. AUB_ERROR_CONFLICT: `version` is the
 * current one. AUB_ERROR_AMBIGUOUS: the write may have taken effect and
 * could not be settled within `timeout_ms` times 4. `change` is a string
 * that occurs in `value` and in no other write: a lost answer is settled by
 * reading back and looking for it.
 */
typedef void aub_store_put_callback(guint64 version, const GError *error,
				    void *context);
void aub_store_put(struct aub_store_client *client, const char *key,
		   const char *value, gsize length, guint64 expected,
		   const char *change_marker, aub_store_put_callback *callback,
		   void *context);

/*
 * Watch a prefix from version `since` on until stopped. The client resumes
 * after errors with backoff and jitter. Called for each change (object set),
 * for each confirmation that nothing changed (object NULL, error NULL), and
 * for each failed try (error set). A version seen never goes back: stale
 * reads are dropped. One watch a client.
 */
typedef void aub_store_watch_callback(const struct aub_store_object *object,
				      guint64 version, const GError *error,
				      void *context);
void aub_store_watch_start(struct aub_store_client *client, const char *prefix,
			   guint64 since, aub_store_watch_callback *callback,
			   void *context);
void aub_store_watch_stop(struct aub_store_client *client);

/* Calls made since the start, for metrics. */
guint64 aub_store_client_calls(const struct aub_store_client *client);

G_END_DECLS

#endif
