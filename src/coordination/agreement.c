/*
 * Monotonic versions, freshness of the configuration, and the two majority
 * rules that keep an accepted configuration active everywhere.
 *
 * With N members known, a change is written only where more than N/2 are
 * reachable, and it is called accepted only once more than N/2 hold it. A
 * process that cannot reach the store takes new work only where at least N/2
 * are reachable. Every serving process can therefore reach a member that holds
 * the accepted version.
 */
#include <auburnstile/internal/agreement.h>

/* Time after a start in which a control asks only its peers. */
#define STARTUP_GRACE_US ((gint64)1000000)
/*
 * A control without a confirmation for this long watches the store itself. Half
 * of AUBI_CONFIG_FRESH_MAX_US.
 */
#define CONFIRMATION_OVERDUE_US ((gint64)1500000)
/*
 * Time for a control that is behind to pull the newer version from a peer,
 * which takes much less.
 */
#define BEHIND_GRACE_US ((gint64)1000000)
/* Minimum duration of a watch. */
#define WATCH_MIN_US ((gint64)5000000)

struct aubi_agreement aubi_agreement_start(gint64 now_us)
{
	return (struct aubi_agreement){ .started_us = now_us };
}

bool aubi_agreement_adopt_config(struct aubi_agreement *agreement,
				 guint64 version)
{
	/*
	 * A stale read of the store or a peer that is behind may offer an older
	 * version, by which a zone that was taken out would receive requests
	 * again. Only a higher version is ever adopted, from any source.
	 */
	if (version <= agreement->config_version)
		return false;
	agreement->config_version = version;
	return true;
}

bool aubi_agreement_adopt_epoch(struct aubi_agreement *agreement, guint64 epoch)
{
	if (epoch <= agreement->epoch)
		return false;
	agreement->epoch = epoch;
	return true;
}

void aubi_agreement_confirm(struct aubi_agreement *agreement, guint64 version,
			    gint64 at_us)
{
	if (version < agreement->config_version ||
	    version < agreement->confirmed_version)
		return;
	if (version == agreement->confirmed_version &&
	    at_us <= agreement->confirmed_us)
		return;
	agreement->confirmed_version = version;
	agreement->confirmed_us = at_us;
}

void aubi_agreement_receive_gossip(struct aubi_agreement *agreement,
				   const struct aub_gossip *gossip,
				   gint64 now_us)
{
	gint64 delay_us = aubi_gossip_delay_us(gossip, now_us);
	bool was_behind = aubi_agreement_is_behind(agreement);

	agreement->peer_version =
		MAX(agreement->peer_version, gossip->config_version);
	if (!was_behind && aubi_agreement_is_behind(agreement))
		agreement->behind_since_us = now_us;
	if (delay_us == AUBI_AGE_UNKNOWN_US || gossip->fresh_ms == G_MAXUINT32)
		return;
	aubi_agreement_confirm(agreement, gossip->config_version,
			       now_us - delay_us -
				       (gint64)gossip->fresh_ms * 1000);
}

bool aubi_agreement_is_behind(const struct aubi_agreement *agreement)
{
	return agreement->peer_version > agreement->config_version;
}

gint64 aubi_agreement_config_age_us(const struct aubi_agreement *agreement,
				    gint64 now_us)
{
	if (!agreement->confirmed_us ||
	    agreement->config_version < agreement->confirmed_version)
		return AUBI_AGE_UNKNOWN_US;
	return MAX(now_us - agreement->confirmed_us, 0);
}

/* Returns the age of the proof that unreachable members are no majority. */
static gint64 half_proof_age_us(const struct aubi_membership *membership,
				gint64 now_us)
{
	guint known = aubi_membership_count(membership);

	return aubi_membership_proof_age_us(membership, (known + 1) / 2,
					    now_us);
}

/*
 * A control that resumes after a pause or a partition receives gossip from all
 * its peers at the same moment, shortly before it has pulled their version. A
 * serving lease for the old version would send requests to a zone that was
 * taken out. A control that could not grant a lease within the last second
 * therefore gets none while it is behind, and one that could may continue for
 * at most a second until it holds the newer version.
 */
static bool may_serve_while_behind(const struct aubi_agreement *agreement,
				   gint64 now_us)
{
	return now_us - agreement->behind_since_us < BEHIND_GRACE_US &&
	       now_us - agreement->last_serving_us < BEHIND_GRACE_US;
}

gint64 aubi_agreement_serve_lease_us(const struct aubi_agreement *agreement,
				     const struct aubi_membership *membership,
				     gint64 now_us)
{
	gint64 age_us;

	if (!agreement->config_version ||
	    aubi_membership_superseded(membership))
		return 0;
	if (aubi_agreement_is_behind(agreement) &&
	    !may_serve_while_behind(agreement, now_us))
		return 0;
	age_us = MIN(aubi_agreement_config_age_us(agreement, now_us),
		     half_proof_age_us(membership, now_us));
	/*
	 * A process without contact to store and peers would never learn of a
	 * change and would keep sending requests to a zone that was taken out.
	 * The lease ends AUBI_CONFIG_FRESH_MAX_US after the last proof wherever
	 * the process hangs, because it is granted as remaining time.
	 */
	if (age_us >= AUBI_CONFIG_FRESH_MAX_US)
		return 0;
	return MIN(AUBI_CONFIG_FRESH_MAX_US - age_us, AUBI_SERVE_LEASE_MAX_US);
}

void aubi_agreement_tick(struct aubi_agreement *agreement,
			 const struct aubi_membership *membership,
			 gint64 now_us)
{
	if (aubi_agreement_serve_lease_us(agreement, membership, now_us) > 0)
		agreement->last_serving_us = now_us;
}

bool aubi_agreement_can_accept_changes(const struct aubi_membership *membership,
				       gint64 now_us)
{
	guint majority = aubi_membership_count(membership) / 2 + 1;

	if (aubi_membership_superseded(membership))
		return false;
	return aubi_membership_proof_age_us(membership, majority, now_us) <
	       AUBI_CONFIG_FRESH_MAX_US;
}

bool aubi_agreement_is_accepted(const struct aubi_agreement *agreement,
				const struct aubi_membership *membership,
				guint64 version)
{
	/*
	 * A partition may begin between the last proof of life and the write. A
	 * majority would then continue with the old version while the partition
	 * lasts, although the new one was reported to operators as accepted.
	 * The change is therefore only reported as accepted once a majority
	 * holds it: every process that serves without the store can reach one
	 * of these members.
	 */
	return agreement->config_version >= version &&
	       aubi_membership_count_holding(membership, version) * 2 >
		       aubi_membership_count(membership);
}

bool aubi_agreement_should_watch_store(struct aubi_agreement *agreement,
				       const struct aubi_membership *membership,
				       guint rank, gint64 now_us)
{
	bool joined = now_us - agreement->started_us >= STARTUP_GRACE_US;
	bool overdue =
		aubi_agreement_config_age_us(agreement, now_us) >
			CONFIRMATION_OVERDUE_US &&
		half_proof_age_us(membership, now_us) > CONFIRMATION_OVERDUE_US;

	/*
	 * If all controls of a restarting zone read the store simultaneously,
	 * other callers of the store would have to wait. In its first second a
	 * control therefore only asks its peers, and only a few controls of a
	 * region watch the store at any time.
	 */
	if (joined && (rank < AUBI_STORE_WATCHERS_PER_REGION || overdue))
		agreement->watch_until_us = now_us + WATCH_MIN_US;
	return now_us < agreement->watch_until_us;
}
