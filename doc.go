// Package persimmoncart defines the interfaces between the packages of the
// router and the types that they share. Its types have small methods only; the
// implementations are below internal/.
package persimmoncart
