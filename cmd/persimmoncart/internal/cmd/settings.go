package cmd

import (
	"net/netip"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/rs/zerolog"

	"github.com/persimmoncart/persimmoncart"
	"github.com/persimmoncart/persimmoncart/internal/admin"
	"github.com/persimmoncart/persimmoncart/internal/caller"
	"github.com/persimmoncart/persimmoncart/internal/config"
	"github.com/persimmoncart/persimmoncart/internal/tlsfiles"
)

// Settings are the flags and environment variables of the program. They are
// text, so that a check names every wrong one and not only the first.
type Settings struct {
	Check         bool     `long:"check" description:"check the settings, name every wrong one and exit"`
	Configuration []string `long:"configuration" env:"CONFIGURATION" env-delim:"," description:"YAML file (or sheet in CSV) to use in place of the store's configuration; repeatable"`
	DataCentre    string   `long:"data-centre" env:"DATA_CENTRE" description:"data centre of this instance"`
	Grace         string   `long:"grace" env:"GRACE" default:"5s" description:"wait for the load balancer after readiness went off"`
	Instance      string   `long:"instance" env:"INSTANCE" description:"name of this instance, unique in the fleet"`
	InstanceList  string   `long:"instance-list" env:"INSTANCE_LIST" description:"address and port of the platform's instance list; empty for an instance without peers"`
	LogLevel      string   `long:"log-level" env:"LOG_LEVEL" default:"info" description:"lowest level that is logged: debug, info, warn or error"`
	Region        string   `long:"region" env:"REGION" description:"region of this instance"`
	Store         string   `long:"store" env:"STORE" description:"address and port of the store; empty refuses calls that may not be repeated"`
	Weights       string   `long:"weights" env:"WEIGHTS" description:"address and port of the weight store; empty plans with a fixed time for a fetch"`

	Admin     AdminSettings    `group:"administration listener" namespace:"admin" env-namespace:"ADMIN"`
	Limits    LimitSettings    `group:"bounds on callers" namespace:"max" env-namespace:"MAX"`
	Callers   ListenerSettings `group:"callers' listener" namespace:"caller" env-namespace:"CALLER"`
	Endpoints EndpointSettings `group:"endpoints" namespace:"endpoint" env-namespace:"ENDPOINT"`
	Peers     PeerSettings     `group:"listener for other instances" namespace:"peer" env-namespace:"PEER"`
}

// An AdminSettings describes the listener for operators.
type AdminSettings struct {
	ListenerSettings
	Tokens []string `long:"token" env:"TOKENS" env-delim:"," description:"operator's token as name:role:hash, with role viewer, operator or admin and the token's SHA-256; repeatable"`
}

// A LimitSettings bounds what one caller may send.
type LimitSettings struct {
	Body     string `long:"body" env:"BODY" default:"4194304" description:"bytes of a request body"`
	Prompt   string `long:"prompt" env:"PROMPT" default:"131072" description:"estimated tokens of a prompt"`
	Read     string `long:"read" env:"READ" default:"10s" description:"time for a whole request body"`
	Requests string `long:"requests" env:"REQUESTS" default:"4096" description:"requests in flight"`
	Timeout  string `long:"timeout" env:"TIMEOUT" default:"60s" description:"time of a request whose route names none"`
	Tokens   string `long:"tokens" env:"TOKENS" default:"4096" description:"output tokens of a route that names no limit"`
	Write    string `long:"write" env:"WRITE" default:"10s" description:"time for one write to a caller that does not read"`
}

// An EndpointSettings says how endpoints and the store are called.
type EndpointSettings struct {
	TLS TLSSettings `group:"TLS towards endpoints" namespace:"tls" env-namespace:"TLS"`
}

// A TLSSettings names TLS files.
type TLSSettings struct {
	CA          string `long:"ca" env:"CA" description:"PEM file of the CA that the other side is checked against"`
	Certificate string `long:"certificate" env:"CERTIFICATE" description:"PEM file of the certificate chain"`
	Key         string `long:"key" env:"KEY" description:"PEM file of the private key"`
}

// files returns the names for tlsfiles.
func (s TLSSettings) files() tlsfiles.Files { return tlsfiles.Files(s) }

// A ListenerSettings describes one listener.
type ListenerSettings struct {
	Listen string      `long:"listen" env:"LISTEN" description:"address and port to listen on"`
	TLS    TLSSettings `group:"TLS" namespace:"tls" env-namespace:"TLS"`
}

// A PeerSettings describes the listener for other instances.
type PeerSettings struct {
	ListenerSettings
	Advertise string `long:"advertise" env:"ADVERTISE" description:"address and port at which other instances reach this one; empty means the listener's"`
	Name      string `long:"name" env:"NAME" description:"name that the certificates of other instances carry; empty accepts every one of the CA"`
}

// ParsedSettings are Settings that have been checked.
type ParsedSettings struct {
	Admin         netip.AddrPort // zero means none
	Advertise     netip.AddrPort
	Callers       netip.AddrPort
	Grace         time.Duration
	InstanceList  netip.AddrPort // zero means no instance list
	LogLevel      zerolog.Level
	Peers         netip.AddrPort // zero means none
	RequestLimits caller.RequestLimits
	Self          persimmoncart.Instance
	Static        *config.Static // nil means the configuration in the store
	Store         netip.AddrPort // zero means no store
	Tokens        []admin.Token
	Weights       netip.AddrPort // zero means no weight store
}

// Parse checks the settings and returns one FieldError for each wrong
// one, sorted by flag.
func (s *Settings) Parse() (ParsedSettings, []FieldError) {
	p := &settingsParser{}
	parsed := ParsedSettings{
		Admin:     p.addr("admin-listen", s.Admin.Listen, false),
		Advertise: p.addr("peer-advertise", s.Peers.Advertise, false),
		RequestLimits: caller.RequestLimits{
			MaxBodyBytes:    int64(p.number("max-body", s.Limits.Body)),
			MaxPromptTokens: p.number("max-prompt", s.Limits.Prompt),
			ReadTimeout:     p.duration("max-read", s.Limits.Read, false),
			MaxRequests:     p.number("max-requests", s.Limits.Requests),
			Timeout:         p.duration("max-timeout", s.Limits.Timeout, false),
			MaxOutputTokens: p.number("max-tokens", s.Limits.Tokens),
			WriteTimeout:    p.duration("max-write", s.Limits.Write, false),
		},
		Callers:      p.addr("caller-listen", s.Callers.Listen, true),
		Grace:        p.duration("grace", s.Grace, true),
		InstanceList: p.addr("instance-list", s.InstanceList, false),
		LogLevel:     p.level("log-level", s.LogLevel),
		Peers:        p.addr("peer-listen", s.Peers.Listen, false),
		Self: persimmoncart.Instance{
			DataCentre: persimmoncart.DataCentre(p.name("data-centre", s.DataCentre)),
			ID:         persimmoncart.InstanceID(p.name("instance", s.Instance)),
			Region:     persimmoncart.Region(p.name("region", s.Region)),
		},
		Store:   p.addr("store", s.Store, false),
		Weights: p.addr("weights", s.Weights, false),
	}
	if !parsed.Advertise.IsValid() {
		parsed.Advertise = parsed.Peers
	}
	parsed.Self.Addr = parsed.Advertise
	if parsed.InstanceList.IsValid() && !parsed.Peers.IsValid() && s.Peers.Listen == "" {
		p.addError("peer-listen", "", "is needed with an instance list")
	}
	if s.Store == "" && len(s.Configuration) == 0 {
		p.addError("store", "", "is needed without configuration files")
	}
	parsed.Tokens = p.tokens("admin-token", s.Admin.Tokens)
	p.files("admin-tls", s.Admin.TLS, true)
	p.files("caller-tls", s.Callers.TLS, true)
	p.files("endpoint-tls", s.Endpoints.TLS, false)
	p.files("peer-tls", s.Peers.TLS, true)
	parsed.Static = p.configuration("configuration", s.Configuration)
	slices.SortStableFunc(p.errors, func(a, b FieldError) int { return strings.Compare(a.Field, b.Field) })
	return parsed, p.errors
}

// A FieldError reports one wrong setting.
type FieldError struct {
	Field  string // name of the flag
	Reason string
	Value  string
}

// Error implements error.
func (e *FieldError) Error() string {
	variable := envPrefix + "_" + strings.ToUpper(strings.ReplaceAll(e.Field, "-", "_"))
	if e.Value == "" {
		return "--" + e.Field + " (" + variable + "): " + e.Reason
	}
	return "--" + e.Field + " (" + variable + "): " + strconv.Quote(e.Value) + " " + e.Reason
}

// namePattern allows what fits into request identifiers, paths and log queries.
var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)

// A settingsParser collects the errors of settings.
type settingsParser struct {
	errors []FieldError
}

// addError records an error.
func (p *settingsParser) addError(field, value, reason string) {
	p.errors = append(p.errors, FieldError{Field: field, Reason: reason, Value: value})
}

// addr parses an address with a port.
func (p *settingsParser) addr(field, value string, required bool) netip.AddrPort {
	if value == "" {
		if required {
			p.addError(field, value, "is missing")
		}
		return netip.AddrPort{}
	}
	a, err := netip.ParseAddrPort(value)
	if err != nil {
		p.addError(field, value, "is not an IP address with a port")
	}
	return a
}

// configuration reads configuration files and records each of their faults.
func (p *settingsParser) configuration(field string, paths []string) *config.Static {
	if len(paths) == 0 {
		return nil
	}
	static, err := config.LoadStatic(paths...)
	if err == nil {
		return static
	}
	issues := config.Issues{}
	if !errors.As(err, &issues) {
		p.addError(field, strings.Join(paths, ","), "cannot be read")
	}
	for _, issue := range issues {
		p.addError(field, "", issue.String())
	}
	return nil
}

// duration parses a duration; only if zero is set it may be zero.
func (p *settingsParser) duration(field, value string, zero bool) time.Duration {
	d, err := time.ParseDuration(value)
	switch {
	case err != nil:
		p.addError(field, value, "is not a duration such as 1.5s")
	case d < 0, d == 0 && !zero:
		p.addError(field, value, "is not positive")
	}
	return d
}

// files checks TLS files. Listeners need a certificate, clients may do without.
func (p *settingsParser) files(field string, s TLSSettings, listener bool) {
	f := s.files()
	switch {
	case f.Certificate == "" && (f.Key != "" || (listener && f.CA != "")):
		p.addError(field+"-certificate", "", "is needed with a key or CA")
	case f.Certificate != "" && f.Key == "":
		p.addError(field+"-key", "", "is needed with a certificate")
	default:
		if err := f.Validate(); err != nil {
			p.addError(field+"-certificate", f.Certificate, "cannot be used with its key and CA")
		}
	}
}

// level parses a log level.
func (p *settingsParser) level(field, value string) zerolog.Level {
	l, err := zerolog.ParseLevel(value)
	if err != nil || value == "" {
		p.addError(field, value, "is not a log level")
	}
	return l
}

// name checks a name.
func (p *settingsParser) name(field, value string) string {
	switch {
	case value == "":
		p.addError(field, value, "is missing")
	case !namePattern.MatchString(value):
		p.addError(field, value, "is not a name of at most 63 letters, digits, dots, underscores and hyphens")
	}
	return value
}

// tokens parses operators' tokens. The error holds no token.
func (p *settingsParser) tokens(field string, values []string) []admin.Token {
	out := make([]admin.Token, 0, len(values))
	for _, value := range values {
		t, err := admin.ParseToken(value)
		if err != nil {
			p.addError(field, "", err.Error())
			continue
		}
		out = append(out, t)
	}
	return out
}

// number parses a positive number.
func (p *settingsParser) number(field, value string) int {
	n, err := strconv.Atoi(value)
	if err != nil || n <= 0 {
		p.addError(field, value, "is not a positive whole number")
	}
	return n
}
