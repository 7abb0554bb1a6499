/*
 * TCP and UDP sockets by IP number, non-blocking.
 */
#ifndef AUBURNSTILE_INTERNAL_TCP_H
#define AUBURNSTILE_INTERNAL_TCP_H

#include <glib.h>
#include <netinet/in.h>
#include <stdbool.h>

G_BEGIN_DECLS

/* "ip:port", IPv4, as a socket address; false for anything else. */
bool aub_socket_address_parse(const char *address, struct sockaddr_in *to);

/* A listener on "ip:port"; -1 with an error that names the address. */
int aub_tcp_listen(const char *address, GError **error);

/* On a free port of loopback; `*address` tells which (g_free). */
int aub_tcp_listen_loopback(char **address);

/* Begin to connect; -1 with an error when that fails at once. */
int aub_tcp_connect(const char *address, GError **error);

/* Accept one connection; -1 when there is none. */
int aub_tcp_accept(int listener);

/* A bound UDP socket; -1 with an error. */
int aub_udp_bind(const char *address, GError **error);

G_END_DECLS

#endif
