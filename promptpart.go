package persimmoncart

// A PromptPart identifies one part of a prompt that several requests share.
type PromptPart string
