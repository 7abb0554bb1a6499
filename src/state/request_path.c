/*
 * Canonicalization of request paths.
 */
#include <auburnstile/internal/request_path.h>

#include <string.h>

/*
 * Decodes percent-encoding in a single pass and replaces backslashes by
 * slashes. Invalid sequences and %00 are copied unchanged. The caller frees the
 * result.
 */
static char *percent_decode(const char *path, gsize length)
{
	char *text = g_malloc(length + 1);
	gsize size = 0;

	for (gsize i = 0; i < length; i++) {
		int value = -1;

		if (path[i] == '%' && i + 2 < length &&
		    g_ascii_isxdigit(path[i + 1]) &&
		    g_ascii_isxdigit(path[i + 2]))
			value = g_ascii_xdigit_value(path[i + 1]) * 16 +
				g_ascii_xdigit_value(path[i + 2]);
		if (value > 0) {
			text[size++] = (char)value;
			i += 2;
		} else {
			text[size++] = path[i];
		}
	}
	text[size] = '\0';
	g_strdelimit(text, "\\", '/');
	return text;
}

/* Removes the last segment. The path never rises above its root. */
static void remove_last_segment(GString *path)
{
	const char *slash = strrchr(path->str, '/');

	g_string_truncate(path, slash ? (gsize)(slash - path->str) : 0);
}

char *aub_path_canonicalize(const char *path)
{
	char *text = percent_decode(path, strcspn(path, "?#"));
	char **segments = g_strsplit(text, "/", -1);
	GString *result = g_string_sized_new(strlen(text) + 1);

	for (guint i = 0; segments[i]; i++) {
		segments[i][strcspn(segments[i], ";")] = '\0';
		if (!*segments[i] || strcmp(segments[i], ".") == 0)
			continue;
		if (strcmp(segments[i], "..") == 0) {
			remove_last_segment(result);
			continue;
		}
		g_string_append_c(result, '/');
		g_string_append(result, segments[i]);
	}
	if (!result->len)
		g_string_append_c(result, '/');
	g_strfreev(segments);
	g_free(text);
	return g_string_free(result, FALSE);
}

bool aub_path_has_prefix(const char *path, const char *prefix)
{
	gsize length = strlen(prefix);

	if (length == 1)
		return true;
	return g_ascii_strncasecmp(path, prefix, length) == 0 &&
	       (path[length] == '\0' || path[length] == '/');
}
