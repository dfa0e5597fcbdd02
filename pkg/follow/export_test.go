package follow

// LostRetryWait exports lostRetryWait for tests.
var LostRetryWait = lostRetryWait
