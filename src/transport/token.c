/* The operators' token. */
#include <auburnstile/error.h>
#include <auburnstile/internal/token.h>

#include <string.h>

char *aub_token_read(const char *file, GError **error)
{
	GError *cause = NULL;
	char *text = NULL;

	if (!g_file_get_contents(file, &text, NULL, &cause)) {
		aub_error_set(error, AUB_ERROR_INVALID, "read token", file,
			      "%s", cause->message);
		g_error_free(cause);
		return NULL;
	}
	text[strcspn(text, "\r\n")] = '\0';
	g_strstrip(text);
	if (strlen(text) < AUB_TOKEN_MIN_LENGTH) {
		aub_error_set(error, AUB_ERROR_INVALID, "read token", file,
			      "must have at least %d characters in its first "
			      "line",
			      AUB_TOKEN_MIN_LENGTH);
		g_free(text);
		return NULL;
	}
	return text;
}

char *aub_token_digest(const char *token)
{
	return g_compute_checksum_for_string(G_CHECKSUM_SHA256, token, -1);
}

/*
 * Compares digests in constant time. A comparison that stops at the first
 * difference would let an attacker find out the token byte by byte from the
 * response time.
 */
static bool equal_in_constant_time(const char *left, const char *right,
				   gsize length)
{
	volatile guchar difference = 0;

	for (gsize i = 0; i < length; i++)
		difference |= (guchar)(left[i] ^ right[i]);
	return difference == 0;
}

bool aub_token_authorizes(const char *digest, const char *header)
{
	static const char scheme[] = "Bearer ";
	char *given_digest;
	bool authorized;

	if (!digest || !header || !g_str_has_prefix(header, scheme))
		return false;
	given_digest = aub_token_digest(header + strlen(scheme));
	authorized = strlen(digest) == strlen(given_digest) &&
		     equal_in_constant_time(digest, given_digest,
					    strlen(given_digest));
	g_free(given_digest);
	return authorized;
}
