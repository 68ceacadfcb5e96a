// Package admission decides which generations get the memory of decode engines while
// there is too little of it: which waits, in which order, how much room each has to leave
// free for others, and which is refused.
//
// A Queue belongs to one pool at one instance. The decisions are made without I/O. They
// answer a load of more requests than engines have memory for, of unequal urgency and
// size, that many instances spread with reports that are out of date.
package admission
