package persimmoncart

// A RequestPart identifies something that several requests share: one part of a
// prompt.
type RequestPart string
