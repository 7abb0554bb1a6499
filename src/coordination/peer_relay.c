/* Names of the failures of relayed requests. */
#include <auburnstile/internal/peer_relay.h>

static const char *const names[] = {
	[AUB_RELAY_NO_FAILURE] = "none",
	[AUB_RELAY_NO_PATH] = "no-path",
	[AUB_RELAY_UNREACHABLE] = "unreachable",
	[AUB_RELAY_LOST] = "lost",
	[AUB_RELAY_LINK_LOST] = "link-lost",
	[AUB_RELAY_TIMEOUT] = "timeout",
};

const char *aub_relay_failure_name(enum aub_relay_failure failure)
{
	return names[failure];
}

enum aub_relay_failure aub_relay_failure_parse(const char *name)
{
	if (!name)
		return AUB_RELAY_NO_FAILURE;
	for (guint i = AUB_RELAY_NO_PATH; i < G_N_ELEMENTS(names); i++)
		if (!g_strcmp0(names[i], name))
			return (enum aub_relay_failure)i;
	return AUB_RELAY_LOST;
}
