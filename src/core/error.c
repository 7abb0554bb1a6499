/*
 * GError domain with the step and the peer as private data.
 */
#include <auburnstile/error.h>

#include <stdarg.h>

struct error_private {
	char *step;
	char *peer;
};

/* G_DEFINE_EXTENDED_ERROR() expects a type name of a single word. */
#define AubErrorPrivate struct error_private

static void aub_error_private_init(struct error_private *private)
{
	private->step = NULL;
	private->peer = NULL;
}

static void aub_error_private_copy(const struct error_private *from,
				   struct error_private *to)
{
	to->step = g_strdup(from->step);
	to->peer = g_strdup(from->peer);
}

static void aub_error_private_clear(struct error_private *private)
{
	g_free(private->step);
	g_free(private->peer);
}

G_DEFINE_EXTENDED_ERROR(AubError, aub_error)

void aub_error_set(GError **error, enum aub_error_code code, const char *step,
		   const char *peer, const char *format, ...)
{
	va_list arguments;
	char *text;

	if (!error)
		return;
	g_assert(!*error);
	va_start(arguments, format);
	text = g_strdup_vprintf(format, arguments);
	va_end(arguments);
	if (peer)
		*error = g_error_new(AUB_ERROR, code, "%s: %s: %s", step, peer,
				     text);
	else
		*error = g_error_new(AUB_ERROR, code, "%s: %s", step, text);
	aub_error_get_private(*error)->step = g_strdup(step);
	aub_error_get_private(*error)->peer = g_strdup(peer);
	g_free(text);
}

const char *aub_error_step(const GError *error)
{
	if (error->domain != AUB_ERROR)
		return NULL;
	return aub_error_get_private(error)->step;
}

const char *aub_error_peer(const GError *error)
{
	if (error->domain != AUB_ERROR)
		return NULL;
	return aub_error_get_private(error)->peer;
}

const char *aub_error_code_name(enum aub_error_code code)
{
	static const char *const names[] = {
		[AUB_ERROR_INVALID] = "invalid",
		[AUB_ERROR_TIMEOUT] = "timeout",
		[AUB_ERROR_REFUSED] = "refused",
		[AUB_ERROR_CLOSED] = "closed",
		[AUB_ERROR_CONFLICT] = "conflict",
		[AUB_ERROR_NOT_FOUND] = "not-found",
		[AUB_ERROR_TOO_LARGE] = "too-large",
		[AUB_ERROR_UNAVAILABLE] = "unavailable",
		[AUB_ERROR_AMBIGUOUS] = "ambiguous",
		[AUB_ERROR_INTERNAL] = "internal",
	};

	if ((guint)code >= G_N_ELEMENTS(names))
		return "unrecognised";
	return names[code];
}
