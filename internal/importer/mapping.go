// Package importer converts a HAProxy configuration to a director's configuration file. Import takes the parsed
// HAProxy configuration, and an Overlay with the settings that HAProxy does not have. It carries over the settings
// that have the same meaning for a director. The Result writes the director's file and a report with the outcome of
// every line. The package opens no files: callers pass texts and writers.
package importer

import (
	"fmt"
	"slices"
	"strings"
)

// A KeywordMapping describes how the importer treats one or more HAProxy keywords. The table of
// docs/import-haproxy.md is rendered from the mappings.
type KeywordMapping struct {
	Scope     string // global, proxy (defaults, frontend, backend, listen), server or section
	Keyword   string // the keywords, separated by spaces; * stands for any text
	ConfigKey string // the director's key to which the keyword is carried over; empty: never carried over
	Reason    string // the meaning and condition if the keyword is carried over, otherwise the reason why it is not
	Advice    string // the action that the operator can take if the keyword is not carried over
}

// Reasons that several mappings share.
const (
	reasonNoTraffic       = "media and requests do not pass through the director, which only assigns clients to nodes"
	reasonOwnPlacement    = "the director chooses nodes by its own mechanism (docs/design.md)"
	reasonOwnHealthChecks = "the director learns the state of nodes from the server list and from its own connections to them"
	reasonNoTLS           = "the director speaks plain WebSocket; encryption is not carried over"
	reasonProcessOnly     = "concerns HAProxy's process, not its decisions"
	reasonOwnLogs         = "the director logs to standard error and has a metrics page"
	reasonNoRules         = "rules on requests are not carried over: a wrong guess would send clients to the wrong nodes"
	reasonAtMostOnce      = "rule 2 (paid set-ups): a request that may have run is never sent again, and this setting sends it again"
)

// KeywordMappings is the mapping table. The first row that matches a keyword applies.
var KeywordMappings = []KeywordMapping{
	{"server", "weight", "nodes.NAME.weight", "0 to 256: the size of the node's link in units of fleet.link_unit; 0 is carried over as draining: the node takes no new sessions, existing ones continue", ""},
	{"server", "disabled enabled", "nodes.NAME", "a disabled server is left out; a plan (--plan) removes its node", ""},
	{"server", "maxconn", "fleet.machines", "the maximum number of sessions, which becomes the capacity of the node's kind of machine; 0 means no limit and leaves the capacity blank", ""},
	{"server", "slowstart", "ramp.warmup", "the time until a node that has just started has its full capacity; carried over if all nodes agree", "set ramp.warmup by hand"},
	{"server", "backup", "", "the director has no nodes that wait for others to fail", "list them later, or list them now as draining"},
	{"server", "check no-check agent-check no-agent-check inter fastinter downinter rise fall addr port observe error-limit on-error on-marked-down on-marked-up track agent-* check-* no-check-* init-state", "", reasonOwnHealthChecks, "the discovery service reports which nodes are up; manners.ping is the interval of the director's own checks"},
	{"server", "cookie", "", "a session stays on its node without a cookie, and a client whose connection broke finds its session by the session's key", ""},
	{"server", "minconn maxqueue strict-maxconn no-strict-maxconn pool-* max-reuse idle-ping check-reuse-pool no-check-reuse-pool", "", "the director neither queues requests in front of nodes nor pools connections: it has one connection to each node", ""},
	{"server", "ssl ssl-* no-ssl no-ssl-* ca-file crt crl-file verify verifyhost no-verifyhost sni alpn npn ciphers ciphersuites curves sigalgs client-sigalgs ech tls-* no-tls-* tlsv* no-tlsv* sslv3 no-sslv3 force-* allow-0rtt no-allow-0rtt renegotiate no-renegotiate", "", reasonNoTLS, "put a proxy that decrypts in front of the nodes, and list its address"},
	{"server", "send-proxy* no-send-proxy* proxy-v2-options set-proxy-v2-tlv-fmt* source usesrc interface namespace tfo no-tfo tcp-ut tcp-md5sig cc socks4 proto ws", "", "concerns the transport to a server: " + reasonNoTraffic, ""},
	{"server", "resolvers resolve-opts resolve-prefer resolve-net init-addr", "", "names are resolved when the director connects", "list addresses instead of names that change"},
	{"server", "hash-key id guid shard redir stick non-stick no-non-stick log-proto log-bufsize", "", reasonOwnPlacement, ""},

	{"proxy", "server", "nodes.NAME", "a node with the server's name, or BACKEND.NAME if two backends have a server of that name", ""},
	{"proxy", "default-server", "nodes.NAME", "its options apply to the servers below it, as on their own lines", ""},
	{"proxy", "server-template", "nodes.NAME", "one node for each number for which --with gives an address: HAProxy learns the addresses from DNS while it runs", "give the addresses with --with, or list the nodes"},
	{"proxy", "timeout connect", "manners.connect", "the time-out of a connection attempt to a node; carried over if all proxies with servers agree", "set manners.connect by hand"},
	{"proxy", "timeout http-request", "limits.players.handshake", "the time-out for receiving a client's whole request, which is the handshake for a director; carried over if all frontends agree", "set limits.players.handshake by hand"},
	{"proxy", "retries", "legs.most", "a connection that fails is retried on another node, and each retry is one more leg; carried over if option redispatch is on and all proxies with servers agree", "set legs.most by hand"},
	{"proxy", "option redispatch", "legs.most", "the director always tries a further leg on another node; an interval is not carried over", ""},
	{"proxy", "retry-on", "legs.most", "conn-failure (a connection that was never established) is the director's own behaviour, and none means one leg; after any other failure the request may have run", "leave it out: " + reasonAtMostOnce},
	{"proxy", "maxconn", "limits.connections", "the maximum number of connected clients; carried over if there is one frontend and it allows fewer than the process", "set limits.connections by hand"},
	{"proxy", "bind", "listen", "the address for clients; carried over if there is exactly one, without encryption", "choose one address for listen, and run a further director for each other address"},
	{"proxy", "disabled enabled", "nodes", "a disabled proxy and its servers are left out", ""},
	{"proxy", "timeout queue", "", "HAProxy queues requests in front of full servers; the director abandons a session at its hard stop and rejects requests that are queued for too long (limits.wait)", "the tariff's hard_stop is the total time that a client's request may take"},
	{"proxy", "timeout server timeout client timeout tunnel timeout client-fin timeout server-fin timeout http-keep-alive timeout client-hs timeout tarpit", "", "time-outs of traffic: " + reasonNoTraffic, ""},
	{"proxy", "timeout check option *chk option *-check http-check tcp-check external-check option log-health-checks", "", reasonOwnHealthChecks, ""},
	{"proxy", "balance hash-type hash-balance-factor hash-preserve-affinity load-server-state-from-file fullconn", "", reasonOwnPlacement, ""},
	{"proxy", "cookie appsession option persist force-persist ignore-persist stick-table stick", "", "a session stays on its node without such a setting", ""},
	{"proxy", "acl", "", reasonNoRules, "a list of paths or hosts here may be a tariff or a group of titles: see the suggestions"},
	{"proxy", "use_backend default_backend use-server dispatch", "", reasonNoRules, "titles (with the cells that hold them) and tariffs determine which clients use which nodes: see the suggestions"},
	{"proxy", "log log-format* log-tag log-steps email-alert option httplog option tcplog option httpslog option dontlog* option log-separate-errors option logasap", "", reasonOwnLogs, ""},
	{"proxy", "http-request http-response http-after-response tcp-request tcp-response quic-initial filter redirect reqrep rspadd capture monitor* errorfile* errorloc* http-error http-errors http-reuse http-send-name-header compression rate-limit declare unique-id-* option http* option forwardfor option originalto option tcp-smart* option tcpka option clitcpka option srvtcpka option nolinger option splice* option abortonclose option prefer-last-server option allbackups option transparent option contstats option checkcache option independent-streams option disable-h2-upgrade option h1-* option accept-* option idle-close-on-response option ssl-* option spop-* option use-small-buffers* option socket-stats", "", reasonNoTraffic, ""},
	{"proxy", "mode", "", "the director speaks its own session protocol with clients (docs/session-api.md)", ""},
	{"proxy", "stats*", "", "the director has a metrics page", "set metrics to the address for that page"},
	{"proxy", "backlog id guid description source grace clitcpka-* srvtcpka-* max-session-srv-conns max-keep-alive-queue retry-after persist", "", reasonProcessOnly, ""},

	{"global", "maxconn", "limits.connections", "the maximum number of connected clients", ""},
	{"global", "user group uid gid chroot daemon pidfile nbproc nbthread cpu-map cpu-policy cpu-set master-worker mworker-* node description localpeer hard-stop-after grace ulimit-n fd-hard-limit shm-* presetenv setenv unsetenv resetenv insecure-* set-dumpable strict-limits thread-* threads* numa-cpu-mapping zero-warning unix-bind default-path busy-polling expose-* httpclient* limited-quic no-quic noepoll nokqueue noevports nopoll nosplice nogetaddrinfo noreuseport pp2-* prealloc-fd profiling* quic* server-state-* spread-checks max-spread-checks harden* h1-* h2-* h2-workaround* 51degrees* deviceatlas* wurfl* lua-* maxcompcpuusage maxcomprate dns-accept-family node external-check warn-blocked-traffic-after force-cfg-parser-pause close-spread-time cluster-secret stress-level", "", reasonProcessOnly, ""},
	{"global", "tune.*", "", reasonProcessOnly, ""},
	{"global", "ca-base crt-base ssl-* issuers-chain-path key-base ocsp-* acme*", "", reasonNoTLS, ""},
	{"global", "log log-* stats* anonkey", "", reasonOwnLogs, ""},
	{"global", "maxconnrate maxsessrate maxsslconn maxsslrate maxpipes maxzlibmem", "", "the director has other limits", "see docs/idle.md for each of them"},

	{"section", "peers", "", "directors share no state", ""},
	{"section", "resolvers", "", "names are resolved when the director connects", "list addresses instead of names that change"},
	{"section", "userlist", "", reasonNoRules, ""},
	{"section", "cache", "", reasonNoTraffic, ""},
	{"section", "mailers", "", reasonOwnLogs, ""},
	{"section", "ring log-forward log-profile traces", "", reasonOwnLogs, ""},
	{"section", "program", "", reasonProcessOnly, "start the program with the service manager that starts the director"},
	{"section", "http-errors", "", reasonNoTraffic, ""},
	{"section", "fcgi-app", "", reasonNoTraffic, ""},
	{"section", "crt-store acme", "", reasonNoTLS, ""},
}

// unknownKeyword is the mapping of keywords that match no row.
var unknownKeyword = KeywordMapping{Reason: "unknown to the importer, which does not guess", Advice: "look it up in HAProxy's manual, and configure its equivalent by hand"}

// keywordPatterns holds the patterns of each row of KeywordMappings, split once.
var keywordPatterns = func() (all [][]string) {
	for _, r := range KeywordMappings {
		all = append(all, r.patterns())
	}
	return all
}()

// lookupKeyword returns the mapping of a keyword.
func lookupKeyword(scope, keyword string) KeywordMapping {
	for i := range KeywordMappings {
		if KeywordMappings[i].Scope == scope && matchesAny(keywordPatterns[i], keyword) {
			return KeywordMappings[i]
		}
	}
	return unknownKeyword
}

// matchesAny reports whether a keyword matches any of the patterns, each of which has at most one *.
func matchesAny(patterns []string, keyword string) bool {
	for _, p := range patterns {
		if prefix, wildcard := strings.CutSuffix(p, "*"); wildcard && strings.HasPrefix(keyword, prefix) || p == keyword {
			return true
		}
		if prefix, suffix, wildcard := strings.Cut(p, "*"); wildcard && suffix != "" && strings.HasPrefix(keyword, prefix) && strings.HasSuffix(keyword, suffix) {
			return true
		}
	}
	return false
}

// patterns splits the Keyword of a mapping; "option" and "timeout" form one pattern with the word that follows.
func (r KeywordMapping) patterns() (all []string) {
	words := strings.Fields(r.Keyword)
	for i := 0; i < len(words); i++ {
		if (words[i] == "option" || words[i] == "timeout") && i+1 < len(words) {
			all = append(all, words[i]+" "+words[i+1])
			i++
			continue
		}
		all = append(all, words[i])
	}
	return all
}

// RenderMappingTable renders the mappings as the Markdown tables of docs/import-haproxy.md.
func RenderMappingTable() string {
	var b strings.Builder
	for _, scope := range []string{"server", "proxy", "global", "section"} {
		title := map[string]string{"server": "On a server (and on default-server)", "proxy": "In defaults, frontend, backend and listen",
			"global": "In global", "section": "Whole sections"}[scope]
		fmt.Fprintf(&b, "### %s\n\n| keyword | carried to | reason, and condition |\n| --- | --- | --- |\n", title)
		for _, r := range KeywordMappings {
			if r.Scope != scope {
				continue
			}
			patterns := r.patterns()
			slices.Sort(patterns)
			key, reason := r.ConfigKey, r.Reason
			if key == "" {
				key = "never"
			} else {
				key = "`" + key + "`"
			}
			if r.Advice != "" {
				reason += ". Otherwise: " + r.Advice
			}
			fmt.Fprintf(&b, "| %s | %s | %s |\n", "`"+strings.Join(patterns, "`, `")+"`", key, reason)
		}
		b.WriteByte('\n')
	}
	return b.String()
}
