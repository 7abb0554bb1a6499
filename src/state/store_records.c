/* Creation and destruction of the records that are read from the store. */
#include <auburnstile/internal/platform.h>

struct aub_record *aub_record_new(const char *name)
{
	struct aub_record *record = g_new0(struct aub_record, 1);

	record->name = g_strdup(name);
	return record;
}

void aub_upstream_record_free(struct aub_upstream_record *record)
{
	if (!record)
		return;
	g_free(record->service);
	g_free(record->address);
	g_free(record->zone);
	g_free(record->version);
	g_free(record);
}

void aub_rollout_record_free(struct aub_rollout_record *record)
{
	if (!record)
		return;
	g_free(record->order.version);
	g_free(record);
}

void aub_record_free(struct aub_record *record)
{
	if (!record)
		return;
	g_free(record->name);
	g_free(record->problem);
	aub_upstream_record_free(record->upstream);
	aub_routing_unref(record->routing);
	aub_rollout_record_free(record->rollout);
	if (record->member) {
		g_free(record->member->ip);
		g_free(record->member->zone);
		g_free(record->member);
	}
	g_free(record);
}

struct aub_store_page *aub_store_page_new(void)
{
	struct aub_store_page *page = g_new0(struct aub_store_page, 1);

	page->records =
		g_ptr_array_new_with_free_func((GDestroyNotify)aub_record_free);
	return page;
}

void aub_store_page_free(struct aub_store_page *page)
{
	if (!page)
		return;
	g_clear_pointer(&page->last, g_bytes_unref);
	g_ptr_array_unref(page->records);
	g_free(page);
}
