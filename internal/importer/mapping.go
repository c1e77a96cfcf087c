// Package importer turns HAProxy's configuration into a director's file, as far as what it says has the
// same meaning here, and accounts for every line of it.
package importer

import (
	"fmt"
	"slices"
	"strings"
)

// A KeywordMapping says what becomes of one keyword. Docs and code have the same table: docs/import-haproxy.md is
// written by the program.
type KeywordMapping struct {
	Scope     string // global, proxy (defaults, frontend, backend, listen), server, section
	Keyword   string // several with the same fate are separated by spaces; a trailing * stands for any rest
	ConfigKey string // where it is carried to; empty: never
	Reason    string // the reason, and the condition where it is carried
	Advice    string // what the operator can do where it is not
}

// The reasons that many rows share.
const (
	reasonNoTraffic       = "media and requests do not pass through the director: it tells players where to go"
	reasonOwnPlacement    = "the director chooses nodes by its own mechanism (docs/design.md)"
	reasonOwnHealthChecks = "the director hears of nodes from the list and from its own connections to them"
	reasonNoTLS           = "the director speaks plain WebSocket; encryption is not carried over"
	reasonProcessOnly     = "belongs to HAProxy's process, not to what it decides"
	reasonOwnLogs         = "the director logs to standard error and has a metrics page"
	reasonNoRules         = "rules on requests are not carried over: a wrong guess would send viewers astray"
	reasonAtMostOnce      = "rule 2 (paid set-ups): what may have run is never sent again, and this sends it again"
)

// KeywordMappings is the mapping, the first row that fits counts.
var KeywordMappings = []KeywordMapping{
	{"server", "weight", "nodes.NAME.weight", "0 to 256: the size of the node's link in units of fleet.link_unit; 0 is carried as draining: no new sessions, those there go on", ""},
	{"server", "disabled enabled", "nodes.NAME", "a disabled server is left out; a planned change removes it", ""},
	{"server", "maxconn", "fleet.machines", "sessions that it runs at most: its kind of machine has so many places; 0 means no limit and leaves the places blank", ""},
	{"server", "slowstart", "ramp.warmup", "the time until a node that has just started is warm; carried where all nodes agree", "set ramp.warmup by hand"},
	{"server", "backup", "", "the director has no nodes that wait for others to fail", "list them later, or list them now as draining"},
	{"server", "check no-check agent-check no-agent-check inter fastinter downinter rise fall addr port observe error-limit on-error on-marked-down on-marked-up track agent-* check-* no-check-* init-state", "", reasonOwnHealthChecks, "the list's source says which nodes are up; manners.ping is how often the director asks a node itself"},
	{"server", "cookie", "", "a session keeps its node by itself, and a viewer whose connection broke finds it by its key", ""},
	{"server", "minconn maxqueue strict-maxconn no-strict-maxconn pool-* max-reuse idle-ping check-reuse-pool no-check-reuse-pool", "", "the director neither queues before nodes nor pools connections: it has one to each", ""},
	{"server", "ssl ssl-* no-ssl no-ssl-* ca-file crt crl-file verify verifyhost no-verifyhost sni alpn npn ciphers ciphersuites curves sigalgs client-sigalgs ech tls-* no-tls-* tlsv* no-tlsv* sslv3 no-sslv3 force-* allow-0rtt no-allow-0rtt renegotiate no-renegotiate", "", reasonNoTLS, "put what decrypts before the nodes, and list its address"},
	{"server", "send-proxy* no-send-proxy* proxy-v2-options set-proxy-v2-tlv-fmt* source usesrc interface namespace tfo no-tfo tcp-ut tcp-md5sig cc socks4 proto ws", "", "how bytes travel to a server: " + reasonNoTraffic, ""},
	{"server", "resolvers resolve-opts resolve-prefer resolve-net init-addr", "", "names are resolved when the director connects", "list addresses where names change"},
	{"server", "hash-key id guid shard redir stick non-stick no-non-stick log-proto log-bufsize", "", reasonOwnPlacement, ""},

	{"proxy", "server", "nodes.NAME", "a node under the server's name, or BACKEND.NAME where two backends have a server of that name", ""},
	{"proxy", "default-server", "nodes.NAME", "what it says holds for the servers below it, as on their own lines", ""},
	{"proxy", "server-template", "nodes.NAME", "one node for each number, where --with gives its address: HAProxy learns the addresses from DNS while it runs", "give the addresses with --with, or list the nodes"},
	{"proxy", "timeout connect", "manners.connect", "the longest try to connect to a node; carried where all proxies with servers agree", "set manners.connect by hand"},
	{"proxy", "timeout http-request", "limits.players.handshake", "the longest that a client's request may take to come whole, which here is the handshake; carried where all frontends agree", "set limits.players.handshake by hand"},
	{"proxy", "retries", "legs.most", "connections that fail are tried again on another node, which is one leg more each; carried where option redispatch is on and all proxies with servers agree", "set legs.most by hand"},
	{"proxy", "option redispatch", "legs.most", "a further leg always goes to another node: this is how the director works; an interval is not carried", ""},
	{"proxy", "retry-on", "legs.most", "conn-failure (a connection that was never made) is how the director works, none is one leg; all else may have run", "leave it: " + reasonAtMostOnce},
	{"proxy", "maxconn", "limits.connections", "players connected at one time; carried where there is one frontend and it allows less than the process", "set limits.connections by hand"},
	{"proxy", "bind", "listen", "the one address for players; carried where there is one in all, without encryption", "choose one address for listen; run a director for each further one"},
	{"proxy", "disabled enabled", "nodes", "a disabled proxy and its servers are left out", ""},
	{"proxy", "timeout queue", "", "HAProxy lets requests wait before full servers; the director gives a session up at its hard stop and turns away what stands in line (limits.wait)", "the tariff's hard_stop is the time that a viewer has in all"},
	{"proxy", "timeout server timeout client timeout tunnel timeout client-fin timeout server-fin timeout http-keep-alive timeout client-hs timeout tarpit", "", "time-outs of traffic: " + reasonNoTraffic, ""},
	{"proxy", "timeout check option *chk option *-check http-check tcp-check external-check option log-health-checks", "", reasonOwnHealthChecks, ""},
	{"proxy", "balance hash-type hash-balance-factor hash-preserve-affinity load-server-state-from-file fullconn", "", reasonOwnPlacement, ""},
	{"proxy", "cookie appsession option persist force-persist ignore-persist stick-table stick", "", "a session keeps its node by itself", ""},
	{"proxy", "acl", "", reasonNoRules, "a list of paths or hosts here may be a tariff or a group of titles: see the suggestions"},
	{"proxy", "use_backend default_backend use-server dispatch", "", reasonNoRules, "which viewers go to which nodes is told by titles (which cells hold them) and tariffs: see the suggestions"},
	{"proxy", "log log-format* log-tag log-steps email-alert option httplog option tcplog option httpslog option dontlog* option log-separate-errors option logasap", "", reasonOwnLogs, ""},
	{"proxy", "http-request http-response http-after-response tcp-request tcp-response quic-initial filter redirect reqrep rspadd capture monitor* errorfile* errorloc* http-error http-errors http-reuse http-send-name-header compression rate-limit declare unique-id-* option http* option forwardfor option originalto option tcp-smart* option tcpka option clitcpka option srvtcpka option nolinger option splice* option abortonclose option prefer-last-server option allbackups option transparent option contstats option checkcache option independent-streams option disable-h2-upgrade option h1-* option accept-* option idle-close-on-response option ssl-* option spop-* option use-small-buffers* option socket-stats", "", reasonNoTraffic, ""},
	{"proxy", "mode", "", "the director speaks its own session protocol to players (docs/session-api.md)", ""},
	{"proxy", "stats*", "", "the director has a metrics page", "set metrics to its address"},
	{"proxy", "backlog id guid description source grace clitcpka-* srvtcpka-* max-session-srv-conns max-keep-alive-queue retry-after persist", "", reasonProcessOnly, ""},

	{"global", "maxconn", "limits.connections", "players connected at one time", ""},
	{"global", "user group uid gid chroot daemon pidfile nbproc nbthread cpu-map cpu-policy cpu-set master-worker mworker-* node description localpeer hard-stop-after grace ulimit-n fd-hard-limit shm-* presetenv setenv unsetenv resetenv insecure-* set-dumpable strict-limits thread-* threads* numa-cpu-mapping zero-warning unix-bind default-path busy-polling expose-* httpclient* limited-quic no-quic noepoll nokqueue noevports nopoll nosplice nogetaddrinfo noreuseport pp2-* prealloc-fd profiling* quic* server-state-* spread-checks max-spread-checks harden* h1-* h2-* h2-workaround* 51degrees* deviceatlas* wurfl* lua-* maxcompcpuusage maxcomprate dns-accept-family node external-check warn-blocked-traffic-after force-cfg-parser-pause close-spread-time cluster-secret stress-level", "", reasonProcessOnly, ""},
	{"global", "tune.*", "", reasonProcessOnly, ""},
	{"global", "ca-base crt-base ssl-* issuers-chain-path key-base ocsp-* acme*", "", reasonNoTLS, ""},
	{"global", "log log-* stats* anonkey", "", reasonOwnLogs, ""},
	{"global", "maxconnrate maxsessrate maxsslconn maxsslrate maxpipes maxzlibmem", "", "the director's limits are others", "docs/idle.md says what each does"},

	{"section", "peers", "", "directors share nothing", ""},
	{"section", "resolvers", "", "names are resolved when the director connects", "list addresses where names change"},
	{"section", "userlist", "", reasonNoRules, ""},
	{"section", "cache", "", reasonNoTraffic, ""},
	{"section", "mailers", "", reasonOwnLogs, ""},
	{"section", "ring log-forward log-profile traces", "", reasonOwnLogs, ""},
	{"section", "program", "", reasonProcessOnly, "start it by what starts the director"},
	{"section", "http-errors", "", reasonNoTraffic, ""},
	{"section", "fcgi-app", "", reasonNoTraffic, ""},
	{"section", "crt-store acme", "", reasonNoTLS, ""},
}

// unknownKeyword is for what no row knows.
var unknownKeyword = KeywordMapping{Reason: "not known to the importer: nothing was guessed", Advice: "look it up in HAProxy's manual, and set what it means here by hand"}

// keywordPatterns are the rows' keywords, taken apart once.
var keywordPatterns = func() (all [][]string) {
	for _, r := range KeywordMappings {
		all = append(all, r.patterns())
	}
	return all
}()

// lookupKeyword finds the row of a keyword.
func lookupKeyword(where, keyword string) KeywordMapping {
	for i := range KeywordMappings {
		if KeywordMappings[i].Scope == where && matchesAny(keywordPatterns[i], keyword) {
			return KeywordMappings[i]
		}
	}
	return unknownKeyword
}

func matchesAny(patterns []string, keyword string) bool {
	for _, k := range patterns {
		if rest, any := strings.CutSuffix(k, "*"); any && strings.HasPrefix(keyword, rest) || k == keyword {
			return true
		}
		if head, tail, ok := strings.Cut(k, "*"); ok && tail != "" && strings.HasPrefix(keyword, head) && strings.HasSuffix(keyword, tail) {
			return true
		}
	}
	return false
}

// patterns takes a row's list apart: "option" and "timeout" belong to the word behind them.
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

// RenderMappingTable renders the table for docs/import-haproxy.md.
func RenderMappingTable() string {
	var b strings.Builder
	for _, where := range []string{"server", "proxy", "global", "section"} {
		title := map[string]string{"server": "On a server (and on default-server)", "proxy": "In defaults, frontend, backend and listen",
			"global": "In global", "section": "Whole sections"}[where]
		fmt.Fprintf(&b, "### %s\n\n| keyword | carried to | reason, and condition |\n| --- | --- | --- |\n", title)
		for _, r := range KeywordMappings {
			if r.Scope != where {
				continue
			}
			words := r.patterns()
			slices.Sort(words)
			key, why := r.ConfigKey, r.Reason
			if key == "" {
				key = "never"
			} else {
				key = "`" + key + "`"
			}
			if r.Advice != "" {
				why += ". Else: " + r.Advice
			}
			fmt.Fprintf(&b, "| %s | %s | %s |\n", "`"+strings.Join(words, "`, `")+"`", key, why)
		}
		b.WriteByte('\n')
	}
	return b.String()
}
