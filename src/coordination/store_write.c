/*
 * Conditional writes of an object's state, each valid for one revision of the
 * object. A write without an answer may have succeeded: it is never repeated
 * here, and the writer finds out from the object itself.
 */
#include <auburnstile/internal/store_sync_internal.h>

#include <libsoup/soup.h>

struct aub_store_write {
	struct aub_store_sync *sync;
	enum aub_store_kind kind;
	struct aub_http_call *call;
	aub_store_write_callback *written;
	void *context;
};

static void on_written(enum aub_exchange_result end,
		       const struct aub_http_head *head, const char *body,
		       gsize length, void *context)
{
	struct aub_store_write *write = context;
	enum aub_store_result result = aub_store_result_from_head(end, head);
	bool conflict = result == AUB_STORE_REFUSED &&
			head->status == SOUP_STATUS_CONFLICT;

	aub_store_count_result(write->sync, write->kind, result);
	write->written(result, conflict, write->context);
	g_free(write);
}

struct aub_store_write *aub_store_sync_write_state(
	struct aub_store_sync *sync, enum aub_store_kind kind, const char *name,
	GBytes *body, aub_store_write_callback *written, void *context)
{
	struct aub_store_write *write = g_new0(struct aub_store_write, 1);
	char *path = sync->options.platform->state_path(kind, name);
	const struct aub_http_call_options options = {
		.method = "PUT",
		.address = sync->address,
		.pool_name = aub_store_kind_name(kind),
		.path = path,
		.body = body,
		.content_type = sync->options.platform->content_type,
		.timeout_ms = AUB_STORE_CALL_TIMEOUT_MS,
	};

	write->sync = sync;
	write->kind = kind;
	write->written = written;
	write->context = context;
	write->call = aub_http_call_new(sync->options.client, &options,
					on_written, write);
	g_free(path);
	return write;
}

void aub_store_write_cancel(struct aub_store_write *write)
{
	if (!write)
		return;
	aub_http_call_cancel(write->call);
	g_free(write);
}
