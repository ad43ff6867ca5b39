"""Types that last for one accepted configuration version."""
