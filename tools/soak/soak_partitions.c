/*
 * Gateways of the soak test that lose their links to all upstreams, while
 * callers, the store and the other gateways still reach them.
 */
#include "soak.h"

#define INTERVAL_MIN_MS 1500 /* between two cuts */
#define INTERVAL_MAX_MS 4000
#define DURATION_MIN_MS 500
#define DURATION_MAX_MS 4000
/* Flapping links are lost and back for so long. */
#define FLAP_PERIOD_MS 300
#define FLAPS 6
/* A cut is noticed, and gateways without links are served, within this time. */
#define DETECTION_US AUB_SECOND
#define SERVED_MIN_SHARE 0.95
#define CALLS_MIN 50 /* fewer say little */

struct soak_partitions {
	struct soak *soak;
	GRand *random;
	bool cut_off[GATEWAY_MAX];
	enum proxy_partition kind;
	enum proxy_partition only_kind; /* NONE: any */
	gint64 start_us; /* of the present cut; 0: none */
	gint64 end_us;
	gint64 next_us;
	guint flaps_left; /* of the present gateways */
	guint cuts;
	guint calls[SOAK_LINK_GROUPS];
	guint served[SOAK_LINK_GROUPS];
	bool only_faults; /* no others are injected */
};

static char *gateway_ip(guint number)
{
	return g_strdup_printf("127.0.1.%u", FIRST_HOST_NUMBER + number);
}

static void apply(const struct soak_partitions *partitions,
		  struct upstream *upstream, bool cut)
{
	for (guint i = 0; i < partitions->soak->gateway_count; i++) {
		char *ip = gateway_ip(i);

		proxy_route_partition(upstream->route, ip,
				      cut && partitions->cut_off[i] ?
					      partitions->kind :
					      PROXY_PARTITION_NONE);
		g_free(ip);
	}
}

static void apply_to_all(const struct soak_partitions *partitions, bool cut)
{
	for (guint i = 0; i < UPSTREAM_COUNT; i++)
		apply(partitions, &partitions->soak->upstreams[i], cut);
}

void soak_partitions_apply(const struct soak_partitions *partitions,
			   struct upstream *upstream)
{
	apply(partitions, upstream, partitions->start_us != 0);
}

struct soak_partitions *soak_partitions_new(struct soak *soak, guint32 seed,
					    enum proxy_partition only_kind)
{
	struct soak_partitions *partitions = g_new0(struct soak_partitions, 1);

	partitions->soak = soak;
	partitions->only_kind = only_kind;
	partitions->random = g_rand_new_with_seed(seed + 1);
	partitions->only_faults = seed % 2 == 0;
	partitions->next_us = soak_now(soak) + 3 * AUB_SECOND;
	return partitions;
}

void soak_partitions_free(struct soak_partitions *partitions)
{
	if (!partitions)
		return;
	g_rand_free(partitions->random);
	g_free(partitions);
}

static gint64 random_time(struct soak_partitions *partitions, gint min_ms,
			  gint max_ms)
{
	return soak_now(partitions->soak) +
	       g_rand_int_range(partitions->random, min_ms, max_ms) * AUB_MS;
}

/* Chooses one or two gateways, those of a zone, or all but one. */
static void choose_gateways(struct soak_partitions *partitions)
{
	gint shape = g_rand_int_range(partitions->random, 0, 3);
	guint first = (guint)g_rand_int_range(
		partitions->random, 0, (gint32)partitions->soak->gateway_count);
	guint second = (guint)g_rand_int_range(
		partitions->random, 0, (gint32)partitions->soak->gateway_count);

	for (guint i = 0; i < partitions->soak->gateway_count; i++)
		partitions->cut_off[i] = shape == 0 ?
						 i == first || i == second :
					 shape == 1 ? i % 2 == first % 2 :
						      i != first;
}

static void start_cut(struct soak_partitions *partitions)
{
	partitions->cuts++;
	partitions->start_us = soak_now(partitions->soak);
	partitions->end_us =
		partitions->flaps_left ?
			partitions->start_us + FLAP_PERIOD_MS * AUB_MS :
			random_time(partitions, DURATION_MIN_MS,
				    DURATION_MAX_MS);
	apply_to_all(partitions, true);
	for (guint i = 0; i < partitions->soak->gateway_count; i++)
		if (partitions->cut_off[i])
			soak_log_gateway_fault(&partitions->soak->gateways[i],
					       "links-cut", partitions->end_us);
}

static void start_new_cut(struct soak_partitions *partitions)
{
	/* The same gateways may be cut off twice within seconds. */
	if (!partitions->cuts || g_rand_int_range(partitions->random, 0, 3)) {
		choose_gateways(partitions);
		partitions->kind = (enum proxy_partition)g_rand_int_range(
			partitions->random, PROXY_PARTITION_RESET,
			PROXY_PARTITION_COUNT);
		if (partitions->only_kind)
			partitions->kind = partitions->only_kind;
	}
	partitions->flaps_left =
		g_rand_int_range(partitions->random, 0, 5) ? 0 : FLAPS;
	start_cut(partitions);
}

static void end_cut(struct soak_partitions *partitions)
{
	apply_to_all(partitions, false);
	partitions->start_us = 0;
	if (partitions->flaps_left) {
		partitions->flaps_left--;
		partitions->next_us =
			soak_now(partitions->soak) + FLAP_PERIOD_MS * AUB_MS;
		return;
	}
	partitions->next_us =
		random_time(partitions, INTERVAL_MIN_MS, INTERVAL_MAX_MS);
}

void soak_partitions_step(struct soak_partitions *partitions, gint64 now_us)
{
	bool over = now_us >= partitions->soak->faults_end_us;

	if (partitions->start_us && (now_us >= partitions->end_us || over)) {
		end_cut(partitions);
		return;
	}
	if (partitions->start_us || now_us < partitions->next_us || over)
		return;
	if (partitions->flaps_left)
		start_cut(partitions);
	else
		start_new_cut(partitions);
}

enum soak_link_group soak_partitions_group(
	const struct soak_partitions *partitions, const struct gateway *gateway)
{
	if (!partitions->start_us || partitions->flaps_left ||
	    soak_now(partitions->soak) - partitions->start_us < DETECTION_US)
		return SOAK_LINKS_NOT_COUNTED;
	return partitions->cut_off[gateway->number] ? SOAK_LINKS_LOST :
						      SOAK_LINKS_KEPT;
}

void soak_partitions_count(struct soak_partitions *partitions,
			   enum soak_link_group group, bool served)
{
	partitions->calls[group]++;
	partitions->served[group] += served;
}

void soak_partitions_get_counts(const struct soak_partitions *partitions,
				struct soak_result *result)
{
	result->cuts = partitions->cuts;
	result->calls_without_links = partitions->calls[SOAK_LINKS_LOST];
}

static double served_share(const struct soak_partitions *partitions,
			   enum soak_link_group group)
{
	return partitions->calls[group] ? (double)partitions->served[group] /
						  partitions->calls[group] :
					  1;
}

void soak_partitions_report(struct soak_partitions *partitions)
{
	double lost = served_share(partitions, SOAK_LINKS_LOST);
	double kept = served_share(partitions, SOAK_LINKS_KEPT);

	g_print("partitions: %u; gateways without links served %u of %u, the "
		"others %u of %u\n",
		partitions->cuts, partitions->served[SOAK_LINKS_LOST],
		partitions->calls[SOAK_LINKS_LOST],
		partitions->served[SOAK_LINKS_KEPT],
		partitions->calls[SOAK_LINKS_KEPT]);
	if (!partitions->only_faults)
		return;
	if (partitions->calls[SOAK_LINKS_LOST] >= CALLS_MIN &&
	    lost < SERVED_MIN_SHARE * kept)
		soak_report_violation(partitions->soak,
				      "RECOVER (gateways without links)", "-");
	if (partitions->calls[SOAK_LINKS_KEPT] >= CALLS_MIN &&
	    kept < SERVED_MIN_SHARE)
		soak_report_violation(partitions->soak,
				      "RECOVER (gateways with links)", "-");
}
