// Package persimmoncart defines the interfaces between the parts of the router
// and the types that they share. It holds no behaviour beyond small methods on
// those types; implementations live below internal/.
package persimmoncart
