package admin

import (
	"crypto/subtle"
	"fmt"
	"net/http"
	"strings"

	"github.com/persimmoncart/persimmoncart/internal/config"
)

// Roles of operators. Each role includes the permissions of those before it.
const (
	RoleViewer   Role = iota + 1 // only reads
	RoleOperator                 // changes all objects except accounts
	RoleAdmin                    // also changes accounts and rolls back
)

// Role is the set of permissions of a token.
type Role uint8

// String returns the role's name in settings, or "none".
func (r Role) String() string {
	switch r {
	case RoleAdmin:
		return "admin"
	case RoleOperator:
		return "operator"
	case RoleViewer:
		return "viewer"
	default:
		return "none"
	}
}

// Token identifies an operator by the hash of a bearer token.
type Token struct {
	Hash config.KeyHash
	Name string // author of the operator's changes
	Role Role
}

// ParseToken parses a token setting of the form "name:role:hash". It returns a
// *TokenError for other text.
func ParseToken(s string) (Token, error) {
	parts := strings.Split(s, ":")
	if len(parts) != 3 || parts[0] == "" {
		return Token{}, &TokenError{Reason: "it does not have three parts"}
	}
	t := Token{Name: parts[0]}
	for _, r := range []Role{RoleViewer, RoleOperator, RoleAdmin} {
		if r.String() == parts[1] {
			t.Role = r
		}
	}
	if t.Role == 0 {
		return Token{}, &TokenError{Name: t.Name, Reason: "its role is not viewer, operator or admin"}
	}
	if err := t.Hash.UnmarshalText([]byte(parts[2])); err != nil {
		return Token{}, &TokenError{Name: t.Name, Reason: err.Error()}
	}
	return t, nil
}

// TokenError reports an invalid token setting. It does not contain the hash, which
// may be a token entered by mistake.
type TokenError struct {
	Name   string
	Reason string
}

// Error implements error.
func (e *TokenError) Error() string {
	return fmt.Sprintf("token %q: %s; want name:role:hash with the SHA-256 of the token in hexadecimal digits", e.Name, e.Reason)
}

// authenticate returns the configured token that matches the request's bearer token,
// or nil.
func authenticate(tokens []Token, r *http.Request) *Token {
	text, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return nil
	}
	hash := config.HashKey(text)
	var found *Token
	for i := range tokens {
		if subtle.ConstantTimeCompare(tokens[i].Hash[:], hash[:]) == 1 {
			found = &tokens[i]
		}
	}
	return found
}
