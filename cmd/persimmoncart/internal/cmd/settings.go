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

// Settings are the flags and environment variables of the program. Their values
// are text, so that Parse reports every wrong one and not only the first.
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

// AdminSettings are the settings of the listener for operators.
type AdminSettings struct {
	ListenerSettings
	Tokens []string `long:"token" env:"TOKENS" env-delim:"," description:"operator's token as name:role:hash, with role viewer, operator or admin and the token's SHA-256; repeatable"`
}

// LimitSettings are the limits of requests from callers.
type LimitSettings struct {
	Body     string `long:"body" env:"BODY" default:"4194304" description:"bytes of a request body"`
	Prompt   string `long:"prompt" env:"PROMPT" default:"131072" description:"estimated tokens of a prompt"`
	Read     string `long:"read" env:"READ" default:"10s" description:"time for a whole request body"`
	Requests string `long:"requests" env:"REQUESTS" default:"4096" description:"requests in flight"`
	Timeout  string `long:"timeout" env:"TIMEOUT" default:"60s" description:"time of a request whose route names none"`
	Tokens   string `long:"tokens" env:"TOKENS" default:"4096" description:"output tokens of a route that names no limit"`
	Write    string `long:"write" env:"WRITE" default:"10s" description:"time for one write to a caller that does not read"`
}

// EndpointSettings are the settings for calls to endpoints and the store.
type EndpointSettings struct {
	TLS TLSSettings `group:"TLS towards endpoints" namespace:"tls" env-namespace:"TLS"`
}

// TLSSettings are the paths of TLS files.
type TLSSettings struct {
	CA          string `long:"ca" env:"CA" description:"PEM file of the CA that the other side is checked against"`
	Certificate string `long:"certificate" env:"CERTIFICATE" description:"PEM file of the certificate chain"`
	Key         string `long:"key" env:"KEY" description:"PEM file of the private key"`
}

// files returns the paths as tlsfiles.Files.
func (s TLSSettings) files() tlsfiles.Files { return tlsfiles.Files(s) }

// ListenerSettings are the settings of one listener.
type ListenerSettings struct {
	Listen string      `long:"listen" env:"LISTEN" description:"address and port to listen on"`
	TLS    TLSSettings `group:"TLS" namespace:"tls" env-namespace:"TLS"`
}

// PeerSettings are the settings of the listener for other instances.
type PeerSettings struct {
	ListenerSettings
	Advertise string `long:"advertise" env:"ADVERTISE" description:"address and port at which other instances reach this one; empty means the listener's"`
	Name      string `long:"name" env:"NAME" description:"name that the certificates of other instances carry; empty accepts every one of the CA"`
}

// ParsedSettings holds the values of valid Settings.
type ParsedSettings struct {
	Admin         netip.AddrPort // listener for operators; zero means none
	Advertise     netip.AddrPort // address of this instance for other instances
	Callers       netip.AddrPort // listener for callers
	Grace         time.Duration  // between reporting not ready and refusing new connections
	InstanceList  netip.AddrPort // zero means no instance list
	LogLevel      zerolog.Level
	Peers         netip.AddrPort // listener for other instances; zero means none
	RequestLimits caller.RequestLimits
	Self          persimmoncart.Instance
	Static        *config.Static // nil means the configuration in the store
	Store         netip.AddrPort // zero means no store
	Tokens        []admin.Token
	Weights       netip.AddrPort // zero means no weight store
}

// Parse validates the settings and returns their values, with one FieldError for
// each wrong setting, sorted by flag. The values are usable only without errors.
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

// A FieldError reports a wrong or missing setting.
type FieldError struct {
	Field  string // name of the flag
	Reason string // what is wrong, as the predicate of a sentence
	Value  string // as given; empty if missing or not to be printed
}

// Error implements error.
func (e *FieldError) Error() string {
	variable := envPrefix + "_" + strings.ToUpper(strings.ReplaceAll(e.Field, "-", "_"))
	if e.Value == "" {
		return "--" + e.Field + " (" + variable + "): " + e.Reason
	}
	return "--" + e.Field + " (" + variable + "): " + strconv.Quote(e.Value) + " " + e.Reason
}

// namePattern matches names that can be part of request identifiers, URL paths and
// log queries without escaping.
var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)

// A settingsParser parses settings and collects their errors.
type settingsParser struct {
	errors []FieldError
}

// addError adds an error for the flag field.
func (p *settingsParser) addError(field, value, reason string) {
	p.errors = append(p.errors, FieldError{Field: field, Reason: reason, Value: value})
}

// addr parses an IP address with a port. An empty value is an error only if the
// setting is required.
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

// configuration reads configuration files and adds an error for each issue in
// them. It returns nil without files.
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

// duration parses a duration that is positive, or zero if allowZero is set.
func (p *settingsParser) duration(field, value string, allowZero bool) time.Duration {
	d, err := time.ParseDuration(value)
	switch {
	case err != nil:
		p.addError(field, value, "is not a duration such as 1.5s")
	case d < 0, d == 0 && !allowZero:
		p.addError(field, value, "is not positive")
	}
	return d
}

// files validates TLS files. A CA alone is enough for a client, but a listener
// with a CA needs a certificate as well.
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

// level parses a log level, which must not be empty.
func (p *settingsParser) level(field, value string) zerolog.Level {
	l, err := zerolog.ParseLevel(value)
	if err != nil || value == "" {
		p.addError(field, value, "is not a log level")
	}
	return l
}

// name validates a name against namePattern and returns it.
func (p *settingsParser) name(field, value string) string {
	switch {
	case value == "":
		p.addError(field, value, "is missing")
	case !namePattern.MatchString(value):
		p.addError(field, value, "is not a name of at most 63 letters, digits, dots, underscores and hyphens")
	}
	return value
}

// tokens parses the tokens of operators. The errors do not contain the tokens.
func (p *settingsParser) tokens(field string, values []string) []admin.Token {
	tokens := make([]admin.Token, 0, len(values))
	for _, value := range values {
		token, err := admin.ParseToken(value)
		if err != nil {
			p.addError(field, "", err.Error())
			continue
		}
		tokens = append(tokens, token)
	}
	return tokens
}

// number parses a positive whole number.
func (p *settingsParser) number(field, value string) int {
	n, err := strconv.Atoi(value)
	if err != nil || n <= 0 {
		p.addError(field, value, "is not a positive whole number")
	}
	return n
}
