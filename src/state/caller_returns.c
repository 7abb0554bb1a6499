/*
 * A bounded table of refused requests by fingerprint, and the share that
 * returned, by how often they had been refused.
 */
#include <auburnstile/internal/caller_returns.h>
#include <auburnstile/internal/decayed_share.h>

#define US_PER_MS G_GINT64_CONSTANT(1000)

#define REQUESTS_MAX 8192
/* A caller that has not returned by then, after the time it was told, won't. */
#define RETURN_GRACE_US (500 * US_PER_MS)
/* Requests refused more often count like those refused this often. */
#define REFUSALS_MAX 4

/* Results of this age count half. */
#define RESULT_HALF_LIFE_US (2000 * US_PER_MS)
/* Most clients retry a request once, and few more often. */
#define PRIOR_FIRST 0.75
#define PRIOR_LATER 0.25
#define PRIOR_RESULTS 4.0

#define SWEEP_PERIOD_US (100 * US_PER_MS)

struct refused_request {
	guint64 fingerprint;
	guint refusals; /* of the request that was refused last */
	guint awaited; /* refused requests that have not returned */
	gint64 expires_us;
};

struct aub_caller_returns {
	GHashTable *requests; /* &fingerprint -> struct refused_request */
	/* of refusals, by earlier ones; hits: the caller returned */
	struct aub_decayed_share shares[REFUSALS_MAX];
	gint64 swept_us;
};

struct aub_caller_returns *aub_caller_returns_new(void)
{
	struct aub_caller_returns *returns =
		g_new0(struct aub_caller_returns, 1);

	returns->requests = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						  NULL, g_free);
	return returns;
}

void aub_caller_returns_free(struct aub_caller_returns *returns)
{
	if (!returns)
		return;
	g_hash_table_unref(returns->requests);
	g_free(returns);
}

/* Records the result of `count` refusals, each the one after `refusals`. */
static void observe(struct aub_caller_returns *returns, guint refusals,
		    guint count, bool returned, gint64 now_us)
{
	guint index = MIN(refusals, REFUSALS_MAX) - 1;

	aub_decayed_share_observe(&returns->shares[index], returned ? count : 0,
				  count, RESULT_HALF_LIFE_US, now_us);
}

static void sweep(struct aub_caller_returns *returns, gint64 now_us)
{
	GHashTableIter iter;
	void *value;

	if (now_us - returns->swept_us < SWEEP_PERIOD_US)
		return;
	returns->swept_us = now_us;
	g_hash_table_iter_init(&iter, returns->requests);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct refused_request *request = value;

		if (request->expires_us > now_us)
			continue;
		if (request->awaited)
			observe(returns, request->refusals, request->awaited,
				false, now_us);
		g_hash_table_iter_remove(&iter);
	}
}

static struct refused_request *find(const struct aub_caller_returns *returns,
				    guint64 fingerprint)
{
	return g_hash_table_lookup(returns->requests, &fingerprint);
}

bool aub_caller_returns_arrived(struct aub_caller_returns *returns,
				guint64 fingerprint, gint64 now_us)
{
	struct refused_request *request;

	sweep(returns, now_us);
	request = find(returns, fingerprint);
	if (!request || !request->awaited)
		return false;
	request->awaited--;
	observe(returns, request->refusals, 1, true, now_us);
	return true;
}

void aub_caller_returns_refused(struct aub_caller_returns *returns,
				guint64 fingerprint, guint after_ms,
				gint64 now_us)
{
	struct refused_request *request;
	gint64 expires_us = now_us + after_ms * US_PER_MS + RETURN_GRACE_US;

	if (!fingerprint)
		return;
	sweep(returns, now_us);
	request = find(returns, fingerprint);
	if (!request) {
		if (g_hash_table_size(returns->requests) >= REQUESTS_MAX)
			return;
		request = g_new0(struct refused_request, 1);
		request->fingerprint = fingerprint;
		g_hash_table_insert(returns->requests, &request->fingerprint,
				    request);
	}
	/* Of several refused at once, the others are at the same count. */
	if (!request->awaited)
		request->refusals++;
	request->awaited++;
	request->expires_us = MAX(request->expires_us, expires_us);
}

void aub_caller_returns_retried(struct aub_caller_returns *returns,
				guint64 fingerprint)
{
	struct refused_request *request = find(returns, fingerprint);

	if (!request || !request->awaited)
		return;
	request->awaited--;
	if (!request->awaited)
		request->refusals--;
}

void aub_caller_returns_served(struct aub_caller_returns *returns,
			       guint64 fingerprint)
{
	const struct refused_request *request = find(returns, fingerprint);

	if (request && !request->awaited)
		g_hash_table_remove(returns->requests, &fingerprint);
}

double aub_caller_returns_probability(const struct aub_caller_returns *returns,
				      guint64 fingerprint, gint64 now_us)
{
	const struct refused_request *request = find(returns, fingerprint);
	/* While it is awaited, its last refusal is not final yet. */
	guint refusals =
		request ? request->refusals - MIN(request->awaited, 1) : 0;
	guint index = MIN(refusals, REFUSALS_MAX - 1);

	return aub_decayed_share_value(&returns->shares[index],
				       index ? PRIOR_LATER : PRIOR_FIRST,
				       PRIOR_RESULTS, RESULT_HALF_LIFE_US,
				       now_us);
}

guint aub_caller_returns_count(const struct aub_caller_returns *returns)
{
	return g_hash_table_size(returns->requests);
}
