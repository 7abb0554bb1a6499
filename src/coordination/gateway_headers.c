/* Selection of the headers that are forwarded. */
#include <auburnstile/internal/gateway_internal.h>

#include <string.h>

/* Hop-by-hop headers (RFC 9110, 7.6.1), and those that are set anew. */
static const char *const hop_by_hop_headers[] = {
	"connection",
	"keep-alive",
	"proxy-connection",
	"proxy-authenticate",
	"te",
	"trailer",
	"transfer-encoding",
	"upgrade",
	"content-length",
	"expect",
};

static bool is_hop_by_hop_header(const char *name)
{
	for (guint i = 0; i < G_N_ELEMENTS(hop_by_hop_headers); i++)
		if (!g_ascii_strcasecmp(name, hop_by_hop_headers[i]))
			return true;
	return false;
}

/* "Connection: x-one, x-two" lists further hop-by-hop headers. */
static bool is_listed_in_connection(const char *connection, const char *name)
{
	char **parts;
	bool found = false;

	if (!connection)
		return false;
	parts = g_strsplit(connection, ",", -1);
	for (guint i = 0; parts[i] && !found; i++)
		found = !g_ascii_strcasecmp(g_strstrip(parts[i]), name);
	g_strfreev(parts);
	return found;
}

/* Returns whether only the gateway itself may set this header. */
static bool is_set_by_gateway(const struct aub_platform *platform,
			      enum aub_headers_kind kind, const char *name)
{
	if (kind == AUB_HEADERS_OF_ANSWER)
		return !g_ascii_strcasecmp(name, AUB_RELAY_FAILURE_HEADER);
	if (!g_ascii_strcasecmp(name, platform->deadline_ms) ||
	    !g_ascii_strcasecmp(name, platform->target_upstream))
		return true;
	return kind == AUB_HEADERS_OF_KEYED_REQUEST &&
	       (!g_ascii_strcasecmp(name, platform->api_key) ||
		!g_ascii_strcasecmp(name, platform->workspace));
}

void aub_headers_forward(GString *out, const struct aub_http_head *head,
			 const struct aub_platform *platform,
			 enum aub_headers_kind kind)
{
	const char *connection = aub_http_head_find(head, "Connection");

	for (guint i = 0; i < head->headers->len; i++) {
		const struct aub_http_header *header =
			&g_array_index(head->headers, struct aub_http_header,
				       i);

		if (is_hop_by_hop_header(header->name) ||
		    is_listed_in_connection(connection, header->name) ||
		    is_set_by_gateway(platform, kind, header->name))
			continue;
		g_string_append_printf(out, "%s: %s\r\n", header->name,
				       header->value);
	}
}

bool aub_header_parse_number(const char *text, gint64 *value)
{
	guint64 number;

	if (!text ||
	    !g_ascii_string_to_unsigned(text, 10, 0, G_MAXINT32, &number, NULL))
		return false;
	*value = (gint64)number;
	return true;
}
