/*
 * Validation problems of a file, and parsing of addresses.
 */
#include <auburnstile/error.h>
#include <auburnstile/internal/problems.h>

#include <gio/gio.h>
#include <stdarg.h>
#include <string.h>

/* Problems listed in the error message; further ones are only counted. */
#define PROBLEM_LINES_MAX 100

struct problem {
	guint line;
	char *text;
};

struct aub_problems {
	const char *source;
	GArray *list; /* of struct problem */
};

static void problem_clear(gpointer data)
{
	struct problem *problem = data;

	g_free(problem->text);
}

struct aub_problems *aub_problems_new(const char *source)
{
	struct aub_problems *problems = g_new0(struct aub_problems, 1);

	problems->source = source;
	problems->list = g_array_new(FALSE, FALSE, sizeof(struct problem));
	g_array_set_clear_func(problems->list, problem_clear);
	return problems;
}

void aub_problems_free(struct aub_problems *problems)
{
	g_array_unref(problems->list);
	g_free(problems);
}

void aub_problems_add(struct aub_problems *problems, guint line,
		      const char *field, const char *rule, const char *format,
		      ...)
{
	struct problem problem = { .line = line };
	GString *text = g_string_new(NULL);
	va_list arguments;

	if (line)
		g_string_printf(text, "%s:%u: ", problems->source, line);
	else
		g_string_printf(text, "%s: ", problems->source);
	if (field)
		g_string_append_printf(text, "%s: ", field);
	va_start(arguments, format);
	g_string_append_vprintf(text, format, arguments);
	va_end(arguments);
	if (rule)
		g_string_append_printf(text, " (rule %s)", rule);
	problem.text = g_string_free(text, FALSE);
	g_array_append_val(problems->list, problem);
}

guint aub_problems_count(const struct aub_problems *problems)
{
	return problems->list->len;
}

static gint compare_by_line(gconstpointer left, gconstpointer right)
{
	const struct problem *a = left;
	const struct problem *b = right;

	if (a->line != b->line)
		return a->line < b->line ? -1 : 1;
	return strcmp(a->text, b->text);
}

bool aub_problems_finish(struct aub_problems *problems, const char *step,
			 GError **error)
{
	GString *text;
	guint count = problems->list->len;

	if (!count)
		return true;
	g_array_sort(problems->list, compare_by_line);
	text = g_string_new(NULL);
	g_string_printf(text, "%u problem%s", count, count == 1 ? "" : "s");
	for (guint i = 0; i < MIN(count, PROBLEM_LINES_MAX); i++)
		g_string_append_printf(
			text, "\n%s",
			g_array_index(problems->list, struct problem, i).text);
	if (count > PROBLEM_LINES_MAX)
		g_string_append_printf(text, "\n... and %u more",
				       count - PROBLEM_LINES_MAX);
	aub_error_set(error, AUB_ERROR_INVALID, step, problems->source, "%s",
		      text->str);
	g_string_free(text, TRUE);
	return false;
}

bool aub_address_parse(const char *text, char **host, guint16 *port)
{
	const char *colon = strrchr(text, ':');
	guint64 number;
	char *host_text;
	bool valid;

	if (!colon || !g_ascii_string_to_unsigned(colon + 1, 10, 0, G_MAXUINT16,
						  &number, NULL))
		return false;
	if (text[0] == '[' && colon > text + 1 && colon[-1] == ']')
		host_text = g_strndup(text + 1, (gsize)(colon - text) - 2);
	else
		host_text = g_strndup(text, (gsize)(colon - text));
	valid = g_hostname_is_ip_address(host_text) &&
		(text[0] == '[') == (strchr(host_text, ':') != NULL);
	if (valid && host)
		*host = g_strdup(host_text);
	if (valid && port)
		*port = (guint16)number;
	g_free(host_text);
	return valid;
}
