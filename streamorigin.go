package persimmoncart

// A StreamOrigin is where the first event of a stream was written. The stream continues
// at that version of the software only: engines do not check whether what two versions
// write fits together.
type StreamOrigin struct {
	Pool     PoolName
	Software SoftwareVersion
}
