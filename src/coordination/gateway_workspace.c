/* The caller of a request: the workspace that holds its API key. */
#include <auburnstile/internal/gateway_internal.h>

#include <string.h>

/* Returns the key in "SCHEME KEY", or NULL if the value has another form. */
static const char *key_of(const char *value, const char *scheme)
{
	gsize length = strlen(scheme);
	const char *key = value + length;

	if (g_ascii_strncasecmp(value, scheme, length) != 0 || *key != ' ')
		return NULL;
	while (*key == ' ')
		key++;
	return *key && !strpbrk(key, " \t") ? key : NULL;
}

const char *aub_request_find_workspace(struct aub_request *request,
				       const struct aub_http_head *head)
{
	const struct aub_platform *platform =
		request->gateway->options.platform;
	const struct aub_workspaces *workspaces = request->routing->workspaces;
	const char *key;

	if (!workspaces)
		return NULL;
	switch (aub_http_head_count(head, platform->api_key)) {
	case 0:
		return request->route->allow_anonymous ? NULL : "key-missing";
	case 1:
		break;
	default:
		return "key-malformed";
	}
	key = key_of(aub_http_head_find(head, platform->api_key),
		     platform->api_key_scheme);
	if (!key)
		return "key-malformed";
	request->workspace = aub_workspaces_find(workspaces, key);
	return request->workspace ? NULL : "key-unknown";
}

/* Routes with a larger number rank like this one. */
#define ROUTE_PRIORITY_MAX 1023

guint aub_request_priority(const struct aub_request *request)
{
	guint route = request->route->priority;
	guint level = request->workspace ? request->workspace->priority : route;

	if (!request->routing->workspaces)
		return route;
	return level * (ROUTE_PRIORITY_MAX + 1) +
	       MIN(route, ROUTE_PRIORITY_MAX);
}
