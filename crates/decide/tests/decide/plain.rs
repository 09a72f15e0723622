//! Plain cases: boundary values, and one small case for each failure found.
#[allow(unused)]
use crate::world::*;
use cottondyke_decide::decide::{opening, threshold};
use cottondyke_decide::types::*;

#[test]
fn threshold_slides_from_the_upper_bound_to_the_floor() {
    let (floor, upper) = (Time(1000), Time(9000));
    for loss in [0.0, 0.05] {
        assert_eq!(threshold(floor, upper, loss), upper);
    }
    for loss in [0.15, 0.5, 2.0] {
        assert_eq!(threshold(floor, upper, loss), floor);
    }
    assert!((opening(0.10) - 0.0625).abs() < 1e-9);
    assert_eq!(threshold(floor, upper, 0.10), Time(1500));
}
