/*
 * Header fields that are forwarded, and the framing rules for both directions.
 */
#include <auburnstile/internal/headers.h>

#include <string.h>

#define INTERNAL_HEADER_PREFIX "Auburnstile-"

/* Fields that apply to one connection only, and fields that libsoup writes. */
static const char *const hop_by_hop_fields[] = {
	"Connection",
	"Keep-Alive",
	"Proxy-Connection",
	"Proxy-Authenticate",
	"Proxy-Authorization",
	"TE",
	"Trailer",
	"Transfer-Encoding",
	"Upgrade",
	"Expect",
	"Content-Length",
};

bool aub_header_is_internal(const char *name)
{
	return !g_ascii_strncasecmp(name, INTERNAL_HEADER_PREFIX,
				    strlen(INTERNAL_HEADER_PREFIX));
}

static bool is_hop_by_hop_field(const char *name)
{
	for (gsize i = 0; i < G_N_ELEMENTS(hop_by_hop_fields); i++)
		if (!g_ascii_strcasecmp(name, hop_by_hop_fields[i]))
			return true;
	return false;
}

void aub_headers_from_soup(SoupMessageHeaders *from, GPtrArray *list)
{
	SoupMessageHeadersIter iterator;
	const char *connection;
	const char *name;
	const char *value;

	connection = soup_message_headers_get_list(from, "Connection");
	soup_message_headers_iter_init(&iterator, from);
	while (soup_message_headers_iter_next(&iterator, &name, &value)) {
		if (is_hop_by_hop_field(name) || aub_header_is_internal(name))
			continue;
		if (connection && soup_header_contains(connection, name))
			continue;
		g_ptr_array_add(list, aub_header_new(name, value));
	}
}

void aub_headers_to_soup(const GPtrArray *list, SoupMessageHeaders *to)
{
	for (guint i = 0; i < list->len; i++) {
		const struct aub_header *header = list->pdata[i];

		soup_message_headers_append(to, header->name, header->value);
	}
}

const char *aub_headers_find(const GPtrArray *list, const char *name)
{
	for (guint i = 0; i < list->len; i++) {
		const struct aub_header *header = list->pdata[i];

		if (!g_ascii_strcasecmp(header->name, name))
			return header->value;
	}
	return NULL;
}

bool aub_parse_number(const char *text, guint64 *number)
{
	return text && g_ascii_string_to_unsigned(text, 10, 0, G_MAXUINT64,
						  number, NULL);
}

bool aub_headers_framing_is_unambiguous(SoupMessageHeaders *headers)
{
	const char *length;
	const char *coding;
	guint64 number;

	length = soup_message_headers_get_list(headers, "Content-Length");
	coding = soup_message_headers_get_list(headers, "Transfer-Encoding");
	if (length && coding)
		return false;
	if (length)
		return aub_parse_number(length, &number);
	return !coding || !g_ascii_strcasecmp(coding, "chunked");
}
