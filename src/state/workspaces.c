/* The workspaces of a configuration; see workspaces.h. */
#include <auburnstile/error.h>
#include <auburnstile/internal/workspaces.h>

#include <string.h>
#include <sys/random.h>

#define ERROR_STEP "check workspaces"

struct aub_workspaces {
	guint8 secret[AUB_KEY_SECRET_BYTES];
	GPtrArray *list; /* of struct aub_workspace */
	GHashTable *by_name; /* name -> index + 1 */
	GHashTable *by_digest; /* AUB_KEY_DIGEST_BYTES bytes -> index + 1 */
};

/* A digest is uniformly distributed, so any part of it is a good hash. */
static guint digest_hash(gconstpointer digest)
{
	guint hash;

	memcpy(&hash, digest, sizeof(hash));
	return hash;
}

static gboolean digest_equal(gconstpointer a, gconstpointer b)
{
	return !memcmp(a, b, AUB_KEY_DIGEST_BYTES);
}

static void workspace_free(void *data)
{
	struct aub_workspace *workspace = data;

	g_free(workspace->name);
	g_free(workspace);
}

void aub_key_secret_generate(guint8 *secret)
{
	/* Requests of up to 256 bytes are never interrupted nor truncated. */
	if (getrandom(secret, AUB_KEY_SECRET_BYTES, 0) != AUB_KEY_SECRET_BYTES)
		g_error("no random bytes for the secret of the API keys");
}

void aub_key_digest(const guint8 *secret, const char *key, gsize length,
		    guint8 *digest)
{
	GHmac *hmac =
		g_hmac_new(G_CHECKSUM_SHA256, secret, AUB_KEY_SECRET_BYTES);
	gsize digest_length = AUB_KEY_DIGEST_BYTES;

	g_hmac_update(hmac, (const guchar *)key, (gssize)length);
	g_hmac_get_digest(hmac, digest, &digest_length);
	g_hmac_unref(hmac);
}

struct aub_workspaces *aub_workspaces_new(const guint8 *secret)
{
	struct aub_workspaces *workspaces = g_new0(struct aub_workspaces, 1);

	if (secret)
		memcpy(workspaces->secret, secret, AUB_KEY_SECRET_BYTES);
	else
		aub_key_secret_generate(workspaces->secret);
	workspaces->list = g_ptr_array_new_with_free_func(workspace_free);
	workspaces->by_name = g_hash_table_new(g_str_hash, g_str_equal);
	workspaces->by_digest =
		g_hash_table_new_full(digest_hash, digest_equal, g_free, NULL);
	return workspaces;
}

void aub_workspaces_free(struct aub_workspaces *workspaces)
{
	if (!workspaces)
		return;
	g_hash_table_unref(workspaces->by_digest);
	g_hash_table_unref(workspaces->by_name);
	g_ptr_array_unref(workspaces->list);
	explicit_bzero(workspaces->secret, sizeof(workspaces->secret));
	g_free(workspaces);
}

/*
 * Returns whether `name` can stand in a header line. A line break in it would
 * let one workspace add headers to the requests of its callers.
 */
static bool is_header_value(const char *name)
{
	if (!name[0] || name[0] == ' ' || g_str_has_suffix(name, " ") ||
	    strlen(name) > AUB_WORKSPACE_BYTES_MAX)
		return false;
	for (const char *c = name; *c; c++)
		if (g_ascii_iscntrl(*c))
			return false;
	return true;
}

gint aub_workspaces_add(struct aub_workspaces *workspaces,
			const struct aub_workspace *workspace, GError **error)
{
	struct aub_workspace *copy;

	if (!is_header_value(workspace->name)) {
		aub_error_set(
			error, AUB_ERROR_INVALID, ERROR_STEP, "workspaces",
			"a name is empty, too long or can't stand in a header");
		return -1;
	}
	if (g_hash_table_contains(workspaces->by_name, workspace->name)) {
		aub_error_set(error, AUB_ERROR_INVALID, ERROR_STEP,
			      workspace->name, "is defined twice");
		return -1;
	}
	copy = g_new(struct aub_workspace, 1);
	*copy = *workspace;
	copy->name = g_strdup(workspace->name);
	g_ptr_array_add(workspaces->list, copy);
	g_hash_table_insert(workspaces->by_name, copy->name,
			    GUINT_TO_POINTER(workspaces->list->len));
	return (gint)workspaces->list->len - 1;
}

bool aub_workspaces_add_digest(struct aub_workspaces *workspaces, guint index,
			       const guint8 *digest, GError **error)
{
	guint holder = GPOINTER_TO_UINT(
		g_hash_table_lookup(workspaces->by_digest, digest));

	if (holder == index + 1)
		return true;
	if (holder) {
		aub_error_set(error, AUB_ERROR_INVALID, ERROR_STEP,
			      aub_workspaces_get(workspaces, index)->name,
			      "has a key that workspace %s has too",
			      aub_workspaces_get(workspaces, holder - 1)->name);
		return false;
	}
	g_hash_table_insert(workspaces->by_digest,
			    g_memdup2(digest, AUB_KEY_DIGEST_BYTES),
			    GUINT_TO_POINTER(index + 1));
	return true;
}

bool aub_workspaces_add_key(struct aub_workspaces *workspaces, guint index,
			    const char *key, GError **error)
{
	guint8 digest[AUB_KEY_DIGEST_BYTES];
	gsize length = strlen(key);

	if (!length || length > AUB_KEY_BYTES_MAX) {
		aub_error_set(error, AUB_ERROR_INVALID, ERROR_STEP,
			      aub_workspaces_get(workspaces, index)->name,
			      "has a key that is empty or longer than %d bytes",
			      AUB_KEY_BYTES_MAX);
		return false;
	}
	aub_key_digest(workspaces->secret, key, length, digest);
	return aub_workspaces_add_digest(workspaces, index, digest, error);
}

const struct aub_workspace *aub_workspaces_find(
	const struct aub_workspaces *workspaces, const char *key)
{
	guint8 digest[AUB_KEY_DIGEST_BYTES];
	gsize length = strlen(key);
	guint holder;

	if (!length || length > AUB_KEY_BYTES_MAX)
		return NULL;
	aub_key_digest(workspaces->secret, key, length, digest);
	holder = GPOINTER_TO_UINT(
		g_hash_table_lookup(workspaces->by_digest, digest));
	return holder ? aub_workspaces_get(workspaces, holder - 1) : NULL;
}

guint aub_workspaces_count(const struct aub_workspaces *workspaces)
{
	return workspaces->list->len;
}

const struct aub_workspace *aub_workspaces_get(
	const struct aub_workspaces *workspaces, guint index)
{
	return g_ptr_array_index(workspaces->list, index);
}
