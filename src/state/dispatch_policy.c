/*
 * Names of policies and refusals, the upstream selection of the baseline
 * policies, the seeded random source, and token buckets.
 *
 * A baseline ignores slot counts and has no queue: each entry sends
 * immediately, as load balancers with outdated or only local information do.
 */
#include <auburnstile/internal/dispatch_internal.h>

static const char *const policy_names[] = {
	[AUB_POLICY_AUBURNSTILE] = "auburnstile",
	[AUB_POLICY_RANDOM] = "random",
	[AUB_POLICY_ROUND_ROBIN] = "round-robin",
	[AUB_POLICY_LEAST_REPORTED] = "least-reported",
	[AUB_POLICY_TWO_CHOICES] = "two-choices",
};

static const char *const refusal_names[] = {
	[AUB_REFUSAL_NONE] = "none",
	[AUB_REFUSAL_QUEUE_FULL] = "queue-full",
	[AUB_REFUSAL_DEADLINE_UNREACHABLE] = "deadline",
	[AUB_REFUSAL_NO_UPSTREAM] = "no-upstream",
	[AUB_REFUSAL_CRASHES_UPSTREAMS] = "crashes",
	[AUB_REFUSAL_NOT_OWNER] = "not-owner",
	[AUB_REFUSAL_RETRY_BUDGET_EXHAUSTED] = "no-budget",
	[AUB_REFUSAL_STOPPING] = "stopping",
};

const char *aub_refusal_name(enum aub_refusal refusal)
{
	if ((guint)refusal >= G_N_ELEMENTS(refusal_names))
		return "invalid";
	return refusal_names[refusal];
}

const char *aub_policy_name(enum aub_policy policy)
{
	if ((guint)policy >= G_N_ELEMENTS(policy_names))
		return "invalid";
	return policy_names[policy];
}

int aub_policy_parse(const char *name)
{
	for (guint i = 0; i < G_N_ELEMENTS(policy_names); i++)
		if (g_str_equal(name, policy_names[i]))
			return (int)i;
	return -1;
}

/*
 * Returns a random number from 0 to `below` - 1. Equal seeds give equal
 * sequences, so that runs are reproducible.
 */
guint dispatch_random(struct aub_dispatcher *dispatcher, guint below)
{
	return (guint)g_rand_int_range(dispatcher->random, 0, (gint32)below);
}

bool token_bucket_take(struct token_bucket *bucket, gint64 tokens)
{
	if (bucket->tokens < tokens)
		return false;
	bucket->tokens -= tokens;
	return true;
}

void token_bucket_add(struct token_bucket *bucket, gint64 tokens)
{
	bucket->tokens = MIN(bucket->tokens + tokens, bucket->capacity);
}

static struct upstream *least_reported(struct aub_dispatcher *dispatcher,
				       const GPtrArray *candidates)
{
	guint start = dispatch_random(dispatcher, candidates->len);
	struct upstream *best = NULL;

	for (guint i = 0; i < candidates->len; i++) {
		struct upstream *upstream =
			candidates->pdata[(start + i) % candidates->len];

		if (!best || upstream->reported_busy < best->reported_busy)
			best = upstream;
	}
	return best;
}

static struct upstream *two_choices(struct aub_dispatcher *dispatcher,
				    const GPtrArray *candidates)
{
	guint first = dispatch_random(dispatcher, candidates->len);
	guint second = dispatch_random(dispatcher, candidates->len);
	struct upstream *a = candidates->pdata[first];
	struct upstream *b = candidates->pdata[second];

	return upstream_in_flight(b) < upstream_in_flight(a) ? b : a;
}

/*
 * Returns the upstream that the baseline policy selects, or NULL if none
 * accepts new requests.
 */
struct upstream *policy_select(struct aub_dispatcher *dispatcher,
			       const struct request *request)
{
	struct upstream *chosen = NULL;
	GPtrArray *candidates = g_ptr_array_new();

	for (guint i = 0; i < dispatcher->upstreams->len; i++) {
		struct upstream *upstream = dispatcher->upstreams->pdata[i];

		if (upstream->accepts_new && !upstream->draining &&
		    upstream != request->avoid_upstream)
			g_ptr_array_add(candidates, upstream);
	}
	if (!candidates->len && request->avoid_upstream &&
	    request->avoid_upstream->accepts_new)
		g_ptr_array_add(candidates, request->avoid_upstream);
	if (!candidates->len)
		goto out;
	switch (dispatcher->policy) {
	case AUB_POLICY_ROUND_ROBIN:
		chosen = candidates->pdata[dispatcher->round_robin_next++ %
					   candidates->len];
		break;
	case AUB_POLICY_LEAST_REPORTED:
		chosen = least_reported(dispatcher, candidates);
		break;
	case AUB_POLICY_TWO_CHOICES:
		chosen = two_choices(dispatcher, candidates);
		break;
	default:
		chosen = candidates->pdata[dispatch_random(dispatcher,
							   candidates->len)];
		break;
	}
out:
	g_ptr_array_free(candidates, TRUE);
	return chosen;
}
