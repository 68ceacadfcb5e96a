package persimmoncart

import "strings"

// wholeRequestPrefix begins the identifiers of whole requests. Those of prompt parts
// are hexadecimal.
const wholeRequestPrefix = "request-"

// A RequestPart identifies something that several requests share: one part of a
// prompt, or the whole request, in the attempts of one caller.
type RequestPart string

// WholeRequest returns the RequestPart of all requests with a fingerprint.
func WholeRequest(fingerprint string) RequestPart {
	return RequestPart(wholeRequestPrefix + fingerprint)
}

// IsWholeRequest reports whether the part is a whole request rather than a part of a
// prompt.
func (p RequestPart) IsWholeRequest() bool { return strings.HasPrefix(string(p), wholeRequestPrefix) }
