/*
 * Retries: which requests may be sent again, when refused callers may return,
 * and after what time an attempt is stuck.
 */
#include <auburnstile/internal/placement_internal.h>

/*
 * Upstreams have room and refuse all the same: the caller may return at once,
 * and those that were refused together return within some time.
 */
#define RETRY_AFTER_ROOM_MS 20
#define RETRY_AFTER_ROOM_SPREAD_MS 20
/* Granted share of the slots below which no request has to wait. */
#define LOW_UTILIZATION_PERCENT 75
/*
 * A request in progress for longer than this is not explained by its kind's
 * service times, even if a neighbour's burst that makes work take four times as
 * long began just after the last report, and the work is twice the mean.
 */
#define SILENT_SERVICE_TIMES 8
#define SILENT_TARGETS 1.5
/* Probability from which a refused caller is expected to come back. */
#define LIKELY_RETURN 0.5

static bool has_spare_slots(const struct aub_placement *placement,
			    const struct aub_placement_capacity *capacity)
{
	guint granted = g_hash_table_size(placement->grants);

	return 100 * granted < LOW_UTILIZATION_PERCENT * capacity->slots;
}

guint aub_placement_retry_after_ms(
	const struct aub_placement *placement,
	const struct aub_placement_request *request,
	const struct aub_placement_capacity *capacity, gint64 now_us)
{
	if (!has_spare_slots(placement, capacity) ||
	    aub_retry_is_futile(
		    1 - aub_refusal_rate_share(&placement->refusals, now_us)))
		return 0;
	return RETRY_AFTER_ROOM_MS +
	       (guint)(request->ticket % RETRY_AFTER_ROOM_SPREAD_MS);
}

guint aub_placement_silent_after_ms(const struct aub_placement *placement,
				    const struct aub_grant *grant)
{
	const struct aub_placement_upstream *upstream =
		aub_placement_get_upstream(placement, grant->upstream_index);
	double expected_ms =
		aub_service_times_mean_ms(&placement->service_times,
					  grant->target_ms) *
		MAX(grant->slowdown, upstream->slowness);

	return (guint)MAX(SILENT_SERVICE_TIMES * expected_ms,
			  SILENT_TARGETS * grant->target_ms);
}

/*
 * While most slots are in use, slow answers are those of an overload, which
 * requests that run twice would only make worse.
 */
static bool may_replace(struct aub_placement *placement,
			const struct aub_placement_request *request,
			gint64 now_us)
{
	struct aub_placement_capacity capacity;

	(void)aub_placement_choose(placement, request, now_us, &capacity);
	return has_spare_slots(placement, &capacity);
}

static struct aub_retry_claim claim_of(
	const struct aub_placement *placement,
	const struct aub_placement_request *request, gint64 now_us)
{
	double return_probability =
		aub_caller_returns_probability(placement->returns,
					       request->fingerprint, now_us);
	struct aub_retry_claim claim = {
		.late = request->replaces || !request->on_time_wait_ms,
		.priority = request->priority,
		.returns = return_probability > LIKELY_RETURN,
		.success = 1 -
			   aub_refusal_rate_share(&placement->refusals, now_us),
	};

	if (request->quotas && request->quota) {
		claim.workspace = request->quota;
		claim.weight =
			aub_quota_weight(request->quotas, request->quota);
	}
	return claim;
}

void aub_placement_receive_retry_credit(
	struct aub_placement *placement,
	const struct aub_placement_request *request, gint64 now_us)
{
	if (!request->retry_credit)
		return;
	placement->retry_counts.received += request->retry_credit;
	aub_retry_admission_add_credit(&placement->retries,
				       request->retry_credit / 1000.0, now_us);
}

enum aub_retry_verdict aub_placement_admit(
	struct aub_placement *placement,
	const struct aub_placement_request *request, gint64 now_us)
{
	struct aub_retry_claim claim;

	if (!request->retry) {
		(void)aub_caller_returns_arrived(placement->returns,
						 request->fingerprint, now_us);
		return AUB_RETRY_ADMITTED;
	}
	if (request->replaces && !may_replace(placement, request, now_us))
		return AUB_RETRY_RESERVED;
	if (!request->replaces)
		aub_caller_returns_retried(placement->returns,
					   request->fingerprint);
	claim = claim_of(placement, request, now_us);
	return aub_retry_admission_decide(&placement->retries, &claim, now_us);
}

void aub_placement_take_back_retry(struct aub_placement *placement,
				   gint64 admitted_us, gint64 now_us)
{
	if (admitted_us)
		aub_retry_admission_take_back(&placement->retries, admitted_us,
					      now_us);
}

void aub_placement_count_earnings(struct aub_placement *placement, bool first,
				  guint32 thousandths)
{
	placement->retry_counts.requests += first;
	placement->retry_counts.issued += thousandths;
}

void aub_placement_get_retry_counts(const struct aub_placement *placement,
				    struct aub_retry_counts *counts)
{
	*counts = placement->retry_counts;
	counts->admitted = placement->retries.verdicts[AUB_RETRY_ADMITTED];
	counts->taken_back = placement->retries.taken_back;
}

void aub_placement_count_attempt(struct aub_placement *placement, bool further)
{
	placement->retry_counts.attempts++;
	placement->retry_counts.further += further;
}
