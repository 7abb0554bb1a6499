/*
 * The versions of a service's upstreams, and the current one.
 */
#include <auburnstile/internal/service_versions.h>

#include <string.h>

/*
 * Operators give an order before or while its upstreams start. The delay is
 * longer than it takes to receive it while the store is disturbed.
 */
#define ADMISSION_DELAY_US ((gint64)10 * G_USEC_PER_SEC)

void aub_service_versions_init(struct aub_service_versions *versions)
{
	memset(versions, 0, sizeof(*versions));
	versions->current = AUB_VERSION_NONE;
	versions->target = AUB_VERSION_NONE;
}

void aub_service_versions_clear(struct aub_service_versions *versions)
{
	for (guint i = 0; i < versions->count; i++)
		g_free(versions->list[i].name);
	aub_service_versions_init(versions);
}

/*
 * Returns a new index or, if the list is full, that of an unused version;
 * AUB_VERSION_NONE if all are in use.
 */
static gint find_free_index(struct aub_service_versions *versions)
{
	if (versions->count < AUB_VERSIONS_MAX)
		return (gint)versions->count++;
	for (gint i = 0; i < AUB_VERSIONS_MAX; i++)
		if (!versions->list[i].upstreams && i != versions->current &&
		    i != versions->target)
			return i;
	return AUB_VERSION_NONE;
}

gint aub_service_versions_index(struct aub_service_versions *versions,
				const char *name)
{
	gint index;

	for (guint i = 0; i < versions->count; i++)
		if (!strcmp(versions->list[i].name, name))
			return (gint)i;
	index = find_free_index(versions);
	if (index == AUB_VERSION_NONE)
		return index;
	g_free(versions->list[index].name);
	versions->list[index] = (struct aub_version){
		.name = g_strdup(name),
	};
	return index;
}

void aub_service_versions_begin_count(struct aub_service_versions *versions)
{
	for (guint i = 0; i < versions->count; i++)
		versions->list[i].upstreams = 0;
}

void aub_service_versions_add(struct aub_service_versions *versions, gint index,
			      gint64 started_ms)
{
	struct aub_version *version;

	if (index == AUB_VERSION_NONE)
		return;
	version = &versions->list[index];
	if (!version->upstreams++ || started_ms < version->oldest_start_ms)
		version->oldest_start_ms = started_ms;
}

void aub_service_versions_remove(struct aub_service_versions *versions,
				 gint index)
{
	if (index != AUB_VERSION_NONE && versions->list[index].upstreams)
		versions->list[index].upstreams--;
}

static bool may_be_current(const struct aub_service_versions *versions, gint i)
{
	return versions->list[i].upstreams &&
	       !versions->list[i].requires_order && i != versions->target;
}

/*
 * A gateway that starts while two versions run concurrently may not have
 * received the order yet, and must not send requests to the version that is
 * still withheld. Upstreams of a new version start while the old ones run, so
 * the version of the oldest upstream is the current one.
 */
static void find_current(struct aub_service_versions *versions, gint64 now_us)
{
	gint best = AUB_VERSION_NONE;

	/*
	 * Upstreams restart, so start times are reliable only until the first
	 * listing is complete.
	 */
	if (versions->current != AUB_VERSION_NONE &&
	    may_be_current(versions, versions->current) &&
	    now_us - versions->current_since_us >= ADMISSION_DELAY_US)
		return;
	for (gint i = 0; i < (gint)versions->count; i++)
		if (may_be_current(versions, i) &&
		    (best == AUB_VERSION_NONE ||
		     versions->list[i].oldest_start_ms <
			     versions->list[best].oldest_start_ms))
			best = i;
	if (best == AUB_VERSION_NONE || best == versions->current)
		return;
	versions->current = best;
	versions->current_since_us = now_us;
}

void aub_service_versions_finish_count(struct aub_service_versions *versions,
				       gint64 now_us)
{
	for (guint i = 0; i < versions->count; i++) {
		struct aub_version *version = &versions->list[i];

		if (!version->upstreams)
			version->present_since_us = 0;
		else if (!version->present_since_us)
			version->present_since_us = now_us;
	}
	find_current(versions, now_us);
}

/* A version that had an order stays withheld until it gets another one. */
void aub_service_versions_set_target(struct aub_service_versions *versions,
				     gint index, gint64 now_us)
{
	if (index == versions->target)
		return;
	versions->target = index;
	if (index != AUB_VERSION_NONE) {
		versions->list[index].admitted = false;
		versions->list[index].requires_order = true;
	}
	find_current(versions, now_us);
}

void aub_service_versions_complete(struct aub_service_versions *versions,
				   gint index, gint64 now_us)
{
	if (index == AUB_VERSION_NONE)
		return;
	for (guint i = 0; i < versions->count; i++) {
		versions->list[i].admitted = false;
		versions->list[i].present_since_us = now_us;
	}
	versions->list[index].requires_order = false;
	versions->current = index;
	/* Older upstreams that are still listed must not replace it. */
	versions->current_since_us = now_us - ADMISSION_DELAY_US;
	versions->target = AUB_VERSION_NONE;
}

bool aub_service_versions_admit(struct aub_service_versions *versions,
				gint64 now_us)
{
	bool changed = false;

	for (gint i = 0; i < (gint)versions->count; i++) {
		struct aub_version *version = &versions->list[i];

		if (version->admitted || !may_be_current(versions, i) ||
		    i == versions->current ||
		    now_us - version->present_since_us < ADMISSION_DELAY_US)
			continue;
		version->admitted = true;
		changed = true;
	}
	return changed;
}

bool aub_service_versions_is_active(const struct aub_service_versions *versions,
				    gint index)
{
	return index != AUB_VERSION_NONE && index != versions->target &&
	       (index == versions->current || versions->list[index].admitted);
}
