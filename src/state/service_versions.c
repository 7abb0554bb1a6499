/*
 * The versions of a service's upstreams, and the one in force.
 */
#include <auburnstile/internal/service_versions.h>

#include <string.h>

/*
 * An order is given before or while its upstreams start; this is longer than
 * it takes to hear of it while the store is disturbed.
 */
#define ADMIT_AFTER_US ((gint64)10 * G_USEC_PER_SEC)

void aub_service_versions_init(struct aub_service_versions *versions)
{
	memset(versions, 0, sizeof(*versions));
	versions->in_force = AUB_VERSION_NONE;
	versions->target = AUB_VERSION_NONE;
}

void aub_service_versions_clear(struct aub_service_versions *versions)
{
	for (guint i = 0; i < versions->count; i++)
		g_free(versions->list[i].name);
	aub_service_versions_init(versions);
}

/* A place for one more: one that is of no use any more, if the list is full. */
static gint find_place(struct aub_service_versions *versions)
{
	if (versions->count < AUB_VERSIONS_MOST)
		return (gint)versions->count++;
	for (gint i = 0; i < AUB_VERSIONS_MOST; i++)
		if (!versions->list[i].upstreams && i != versions->in_force &&
		    i != versions->target)
			return i;
	return AUB_VERSION_NONE;
}

gint aub_service_versions_index(struct aub_service_versions *versions,
				const char *name)
{
	gint place;

	for (guint i = 0; i < versions->count; i++)
		if (!strcmp(versions->list[i].name, name))
			return (gint)i;
	place = find_place(versions);
	if (place == AUB_VERSION_NONE)
		return place;
	g_free(versions->list[place].name);
	versions->list[place] = (struct aub_version){
		.name = g_strdup(name),
	};
	return place;
}

void aub_service_versions_recount(struct aub_service_versions *versions)
{
	for (guint i = 0; i < versions->count; i++)
		versions->list[i].upstreams = 0;
}

void aub_service_versions_count(struct aub_service_versions *versions,
				gint index, gint64 born_ms)
{
	struct aub_version *version;

	if (index == AUB_VERSION_NONE)
		return;
	version = &versions->list[index];
	if (!version->upstreams++ || born_ms < version->born_ms)
		version->born_ms = born_ms;
}

void aub_service_versions_discount(struct aub_service_versions *versions,
				   gint index)
{
	if (index != AUB_VERSION_NONE && versions->list[index].upstreams)
		versions->list[index].upstreams--;
}

static bool may_be_in_force(const struct aub_service_versions *versions, gint i)
{
	return versions->list[i].upstreams && !versions->list[i].barred &&
	       i != versions->target;
}

/*
 * Failure: a gateway starts while two versions run side by side, and has not
 * heard of the order. Symptom: it sends requests to the version that waits.
 * Enough: upstreams of a new version are started beside the old ones, so the
 * version of the oldest upstream is the one in force.
 */
static void find_in_force(struct aub_service_versions *versions, gint64 now_us)
{
	gint best = AUB_VERSION_NONE;

	/* Upstreams restart, so age tells only until the first listing is in.
	 */
	if (versions->in_force != AUB_VERSION_NONE &&
	    may_be_in_force(versions, versions->in_force) &&
	    now_us - versions->in_force_us >= ADMIT_AFTER_US)
		return;
	for (gint i = 0; i < (gint)versions->count; i++)
		if (may_be_in_force(versions, i) &&
		    (best == AUB_VERSION_NONE ||
		     versions->list[i].born_ms < versions->list[best].born_ms))
			best = i;
	if (best == AUB_VERSION_NONE || best == versions->in_force)
		return;
	versions->in_force = best;
	versions->in_force_us = now_us;
}

void aub_service_versions_counted(struct aub_service_versions *versions,
				  gint64 now_us)
{
	for (guint i = 0; i < versions->count; i++) {
		struct aub_version *version = &versions->list[i];

		if (!version->upstreams)
			version->since_us = 0;
		else if (!version->since_us)
			version->since_us = now_us;
	}
	find_in_force(versions, now_us);
}

/* What an order was for needs another one once that is gone. */
void aub_service_versions_set_target(struct aub_service_versions *versions,
				     gint index, gint64 now_us)
{
	if (index == versions->target)
		return;
	versions->target = index;
	if (index != AUB_VERSION_NONE) {
		versions->list[index].admitted = false;
		versions->list[index].barred = true;
	}
	find_in_force(versions, now_us);
}

void aub_service_versions_complete(struct aub_service_versions *versions,
				   gint index, gint64 now_us)
{
	if (index == AUB_VERSION_NONE)
		return;
	for (guint i = 0; i < versions->count; i++) {
		versions->list[i].admitted = false;
		versions->list[i].since_us = now_us;
	}
	versions->list[index].barred = false;
	versions->in_force = index;
	/* Older upstreams that are still listed don't come before it. */
	versions->in_force_us = now_us - ADMIT_AFTER_US;
	versions->target = AUB_VERSION_NONE;
}

bool aub_service_versions_admit(struct aub_service_versions *versions,
				gint64 now_us)
{
	bool changed = false;

	for (gint i = 0; i < (gint)versions->count; i++) {
		struct aub_version *version = &versions->list[i];

		if (version->admitted || !may_be_in_force(versions, i) ||
		    i == versions->in_force ||
		    now_us - version->since_us < ADMIT_AFTER_US)
			continue;
		version->admitted = true;
		changed = true;
	}
	return changed;
}

bool aub_service_versions_is_free(const struct aub_service_versions *versions,
				  gint index)
{
	return index != AUB_VERSION_NONE && index != versions->target &&
	       (index == versions->in_force || versions->list[index].admitted);
}
