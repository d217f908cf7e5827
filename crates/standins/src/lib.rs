//! Small stand-ins for engines, pools, plain services and the weight store.
