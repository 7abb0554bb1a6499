/*
 * Client of the platform's object store.
 *
 * Published protocol (HTTP; docs/PROTOCOL.md):
 *   GET  /v1/objects/KEY          200 body, X-Version: N | 404
 *   GET  /v1/objects?prefix=P     200 [{"key","version","value"}...]
 *   PUT  /v1/objects/KEY          If-Match: N (0 = must not exist)
 *                                 200 X-Version: N | 412 X-Version: current
 *   GET  /v1/watch?prefix=P&since=N&wait_ms=M
 *                                 200 {"version":N,"changes":[{...}]}
 * Versions increase over the whole store. Each call counts against a budget of
 * calls per second; a waiting watch counts as one. Calls are asynchronous on
 * the thread's default main context. Each callback is called exactly once,
 * never from within the call. Freeing the client cancels open calls without
 * calling their callbacks. The client must not be freed from within one of its
 * callbacks.
 */
#ifndef AUBURNSTILE_STORE_CLIENT_H
#define AUBURNSTILE_STORE_CLIENT_H

#include <glib.h>

G_BEGIN_DECLS

struct aub_store_client;

struct aub_store_client_options {
	const char *url; /* e.g. "http://127.0.0.1:7000"; copied */
	guint timeout_ms; /* of one attempt, except for watches */
	guint watch_wait_ms; /* how long the store holds a watch request */
	guint calls_per_s; /* call budget; further calls are queued */
	guint32 seed; /* for the jitter of the backoff */
};

struct aub_store_client *aub_store_client_new(
	const struct aub_store_client_options *options);
void aub_store_client_free(struct aub_store_client *client);

/* An object as read; valid during the callback. */
struct aub_store_object {
	const char *key;
	const char *value; /* need not be NUL-terminated */
	gsize length;
	guint64 version;
};

/*
 * `error` is NULL on success, AUB_ERROR_NOT_FOUND if the object does not
 * exist.
 */
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
 * Writes `value` if the version of the object is `expected_version` (0: the
 * object does not exist). On success, `version` is the new version. On
 * AUB_ERROR_CONFLICT, it is the current version. AUB_ERROR_AMBIGUOUS means
 * that the write may have taken effect and that this could not be determined
 * within 4 times `timeout_ms`.
 *
 * `change_marker` is a string that occurs in `value` and in no other write. If
 * the response to the write is lost, the client reads the object back and
 * searches it for the marker.
 */
typedef void aub_store_put_callback(guint64 version, const GError *error,
				    void *context);
void aub_store_put(struct aub_store_client *client, const char *key,
		   const char *value, gsize length, guint64 expected_version,
		   const char *change_marker, aub_store_put_callback *callback,
		   void *context);

/*
 * Watches a prefix from version `since_version` until stopped. After errors the
 * client resumes the watch with backoff and jitter. The callback is called for
 * each change (object set), for each confirmation that nothing has changed
 * (object and error NULL), and for each failed attempt (error set). Versions
 * never decrease: stale reads are dropped. A client has at most one watch.
 */
typedef void aub_store_watch_callback(const struct aub_store_object *object,
				      guint64 version, const GError *error,
				      void *context);
void aub_store_watch_start(struct aub_store_client *client, const char *prefix,
			   guint64 since_version,
			   aub_store_watch_callback *callback, void *context);
void aub_store_watch_stop(struct aub_store_client *client);

/* Returns the number of calls made since the start, for metrics. */
guint64 aub_store_client_calls(const struct aub_store_client *client);

G_END_DECLS

#endif
